"""What the experiments measure, by class of requests."""

import math
from collections import Counter

import attrs
from hdrh.histogram import HdrHistogram

from lab.bench_load import Arrival

GAP_TARGET_MS = 41.0
PAUSE_TARGET_MS = 890.0
SLOW_GAPS_ALLOWED = 0.05
PERCENTILES = (50, 95, 99, 99.9)
_US = 1000
_HOUR_US = 3_600_000_000


@attrs.define(eq=False)
class Job:
    """A request and what became of it.

    Attributes:
        arrival: The request as its caller made it.
        attempts: How often it was submitted.
        refused_ms: When it was refused for good.
        wanted_ms: When the last attempt was submitted.
        first_ms: When its first token came.
        last_ms: When its last token came, while it does not run.
        tokens: The tokens that came.
        slow_gaps: Gaps longer than the target.
        longest_ms: The longest gap.
        stall_ms: The time beyond the target, over all gaps.
        preemptions: How often it lost its memory.
        is_done: Whether it came to its end.
        is_lost: Whether its engine was lost and it was not run again.
        slow_base: The engine's count of slow steps when it joined.
        stall_base: The engine's stall time when it joined.
    """

    arrival: Arrival
    attempts: int = 0
    refused_ms: float | None = None
    wanted_ms: float = 0.0
    first_ms: float | None = None
    last_ms: float = 0.0
    tokens: int = 0
    slow_gaps: int = 0
    longest_ms: float = 0.0
    stall_ms: float = 0.0
    preemptions: int = 0
    is_done: bool = False
    is_lost: bool = False
    slow_base: int = 0
    stall_base: float = 0.0

    @property
    def wait_ms(self) -> float:
        """The time from the caller's request to the first token."""
        if self.first_ms is None:
            return math.inf
        return self.first_ms - self.arrival.at_ms

    @property
    def is_met(self) -> bool:
        """Whether it met its targets."""
        return (
            self.is_done
            and self.wait_ms <= self.arrival.kind.first_token_ms
            and self.keeps_pace
        )

    @property
    def keeps_pace(self) -> bool:
        """Whether 95 in 100 gaps were short and no pause was long."""
        allowed = SLOW_GAPS_ALLOWED * max(1, self.tokens - 1)
        # One slow gap of a short answer is not held against it.
        few = self.slow_gaps <= max(1, allowed)
        return few and self.longest_ms <= PAUSE_TARGET_MS


@attrs.frozen
class Percentiles:
    """The values at `PERCENTILES`, in ms."""

    p50: float
    p95: float
    p99: float
    p999: float


class Durations:
    """Counts durations and returns their percentiles."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()

    def add(self, ms: float, count: int = 1) -> None:
        """Adds a duration `count` times."""
        self._counts[max(1, int(ms * _US))] += count

    def percentiles(self) -> Percentiles:
        """Returns the percentiles by HdrHistogram."""
        histogram = HdrHistogram(1, _HOUR_US, 3)
        for value, count in self._counts.items():
            histogram.record_value(value, count)
        found = [
            histogram.get_value_at_percentile(p) / _US for p in PERCENTILES
        ]
        return Percentiles(*found)


@attrs.frozen
class ClassResult:
    """What one class of requests got.

    Attributes:
        name: The class.
        offered: Requests made in the measured time.
        refused: Those that were refused.
        refused_late: Those refused after more than 50 ms.
        refusal_p99_ms: How fast refusals were.
        first_in_time: The share of all whose first token was in time.
        gaps_in_time: The share of started ones with short gaps.
        met: The share of all that met every target.
        goodput: Tokens a second of those.
        stall_s: Time beyond the gap target, over all streams.
        preemptions: Streams thrown out of memory.
        gap: The gaps between tokens.
        first: The times to the first token.
    """

    name: str
    offered: int
    refused: int
    refused_late: int
    refusal_p99_ms: float
    first_in_time: float
    gaps_in_time: float
    met: float
    goodput: float
    stall_s: float
    preemptions: int
    gap: Percentiles
    first: Percentiles


@attrs.frozen
class RunResult:
    """One run of an experiment.

    Attributes:
        deployment: The deployment's name.
        scenario: What was done.
        load: Share of capacity.
        policy: Who decided.
        classes: The classes, the interactive one first.
        goodput: Tokens a second of streams that met their targets.
        others_goodput: The same without the account that floods.
        fairness: Jain's index over accounts' shares of goodput to demand.
        recovered_met: The share of interactive requests that met their
            targets from 30 s after the engine was lost.
        attempts: Submissions for each request.
    """

    deployment: str
    scenario: str
    load: float
    policy: str
    classes: list[ClassResult]
    goodput: float
    others_goodput: float
    fairness: float
    recovered_met: float
    attempts: float

    @property
    def stall_s(self) -> float:
        """The stall time of all classes."""
        return sum(c.stall_s for c in self.classes)

    @property
    def preemptions(self) -> int:
        """The preemptions of all classes."""
        return sum(c.preemptions for c in self.classes)


def class_result(
    name: str, jobs: list[Job], gap: Durations, seconds: float
) -> ClassResult:
    """Sums up the jobs of one class."""
    refusals = [j for j in jobs if j.refused_ms is not None]
    speeds, firsts = Durations(), Durations()
    for job in refusals:
        speeds.add((job.refused_ms or 0.0) - job.wanted_ms)
    started = [j for j in jobs if j.first_ms is not None]
    for job in started:
        firsts.add(job.wait_ms)
    in_time = [j for j in started if j.wait_ms <= j.arrival.kind.first_token_ms]
    count = max(1, len(jobs))
    return ClassResult(
        name=name,
        offered=len(jobs),
        refused=len(refusals),
        refused_late=sum(
            (j.refused_ms or 0) - j.wanted_ms > 50 for j in refusals
        ),
        refusal_p99_ms=speeds.percentiles().p99,
        first_in_time=len(in_time) / count,
        gaps_in_time=sum(j.keeps_pace for j in started) / max(1, len(started)),
        met=sum(j.is_met for j in jobs) / count,
        goodput=sum(j.tokens for j in jobs if j.is_met) / seconds,
        stall_s=sum(j.stall_ms for j in jobs) / 1000,
        preemptions=sum(j.preemptions for j in jobs),
        gap=gap.percentiles(),
        first=firsts.percentiles(),
    )


def fairness(jobs: list[Job]) -> float:
    """Returns Jain's index of goodput over demand, by account."""
    demand: Counter[str] = Counter()
    served: Counter[str] = Counter()
    for job in jobs:
        account = job.arrival.request.account
        demand[account] += job.arrival.output_tokens
        served[account] += job.tokens if job.is_met else 0
    shares = [served[a] / demand[a] for a in demand]
    squares = sum(s * s for s in shares)
    if not squares:
        return 0.0
    return sum(shares) ** 2 / (len(shares) * squares)
