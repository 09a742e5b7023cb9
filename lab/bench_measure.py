"""Measurements of simulated requests, summed up by traffic class."""

import math
from collections import Counter

import attrs
from hdrh.histogram import HdrHistogram

from lab.bench_traffic import Arrival

GAP_TARGET_MS = 41.0
PAUSE_TARGET_MS = 890.0
SLOW_GAP_SHARE_ALLOWED = 0.05
PERCENTILES = (50, 95, 99, 99.9)
_US_PER_MS = 1000
_HOUR_US = 3_600_000_000


@attrs.define(eq=False)
class Job:
    """A simulated request and its measurements.

    Attributes:
        arrival: The request and its time of arrival.
        attempts: The number of submissions to the broker.
        refused_at_ms: When the last attempt was refused or lost; None if the
            request was not given up.
        submitted_at_ms: When the latest attempt was submitted.
        first_token_at_ms: When the first token arrived.
        left_batch_at_ms: When it last left the batch, preempted or complete.
        tokens: The number of tokens received.
        slow_gaps: The number of gaps over `GAP_TARGET_MS`.
        longest_pause_ms: The longest gap caused by a preemption.
        stall_ms: The sum over all gaps of the time beyond the target.
        preemptions: How often its KV cache was evicted.
        is_done: Whether it is complete.
        is_lost: Whether its engine failed after the first token.
        slow_steps_at_join: The engine's number of slow steps when the request
            joined the batch.
        stall_ms_at_join: The engine's stall time when the request joined the
            batch.
    """

    arrival: Arrival
    attempts: int = 0
    refused_at_ms: float | None = None
    submitted_at_ms: float = 0.0
    first_token_at_ms: float | None = None
    left_batch_at_ms: float = 0.0
    tokens: int = 0
    slow_gaps: int = 0
    longest_pause_ms: float = 0.0
    stall_ms: float = 0.0
    preemptions: int = 0
    is_done: bool = False
    is_lost: bool = False
    slow_steps_at_join: int = 0
    stall_ms_at_join: float = 0.0

    @property
    def time_to_first_token_ms(self) -> float:
        """The time from arrival to the first token."""
        if self.first_token_at_ms is None:
            return math.inf
        return self.first_token_at_ms - self.arrival.at_ms

    @property
    def met_targets(self) -> bool:
        """Whether it is complete and met all its targets."""
        return (
            self.is_done
            and self.time_to_first_token_ms
            <= self.arrival.kind.first_token_target_ms
            and self.met_gap_targets
        )

    @property
    def met_gap_targets(self) -> bool:
        """Whether 95% of its gaps met the target and no pause was too long."""
        allowed = SLOW_GAP_SHARE_ALLOWED * max(1, self.tokens - 1)
        # One slow gap is allowed even in a short response.
        has_few_slow_gaps = self.slow_gaps <= max(1, allowed)
        return has_few_slow_gaps and self.longest_pause_ms <= PAUSE_TARGET_MS


@attrs.frozen
class Percentiles:
    """The durations at `PERCENTILES`, in ms."""

    p50: float
    p95: float
    p99: float
    p999: float


class Durations:
    """A histogram of durations."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()

    def add(self, ms: float, count: int = 1) -> None:
        """Adds a duration `count` times."""
        self._counts[max(1, int(ms * _US_PER_MS))] += count

    def percentiles(self) -> Percentiles:
        """Returns the percentiles, computed with HdrHistogram."""
        histogram = HdrHistogram(1, _HOUR_US, 3)
        for value, count in self._counts.items():
            histogram.record_value(value, count)
        found = [
            histogram.get_value_at_percentile(p) / _US_PER_MS
            for p in PERCENTILES
        ]
        return Percentiles(*found)


@attrs.frozen
class ClassResult:
    """The measurements of one traffic class.

    Attributes:
        name: The name of the class.
        offered: Requests that arrived in the measured window.
        refused: Requests that were refused.
        refused_late: Requests refused more than 50 ms after submission.
        refusal_p99_ms: The 99th percentile of the time to a refusal.
        first_in_time: The share of all requests whose first token met its
            target.
        gaps_in_time: The share of started requests that met the gap target.
        met: The share of all requests that met every target.
        goodput: Tokens per second of the requests that met every target.
        stall_s: The time beyond the gap target, summed over all streams.
        preemptions: The number of preemptions.
        gap: Percentiles of the gaps between tokens.
        first: Percentiles of the time to the first token.
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
    """The measurements of one simulation.

    Attributes:
        deployment: The name of the deployment.
        scenario: The name of the scenario.
        load: The load as a share of capacity.
        policy: The name of the admission policy.
        classes: The traffic classes, the interactive one first.
        goodput: Tokens per second of streams that met their targets.
        others_goodput: The goodput without the account that floods.
        fairness: Jain's index over the accounts' ratios of goodput to demand.
        recovered_met: The share of interactive requests that met their
            targets among those from 30 s after the loss of the engine.
        attempts: Submissions per request.
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
        """The stall time summed over all classes."""
        return sum(c.stall_s for c in self.classes)

    @property
    def preemptions(self) -> int:
        """The preemptions summed over all classes."""
        return sum(c.preemptions for c in self.classes)


def summarize_class(
    name: str, jobs: list[Job], gap: Durations, seconds: float
) -> ClassResult:
    """Returns the measurements of one class over `seconds`."""
    refusals = [j for j in jobs if j.refused_at_ms is not None]
    refusal_times, first_token_times = Durations(), Durations()
    for job in refusals:
        refusal_times.add((job.refused_at_ms or 0.0) - job.submitted_at_ms)
    started = [j for j in jobs if j.first_token_at_ms is not None]
    for job in started:
        first_token_times.add(job.time_to_first_token_ms)
    in_time = [
        j
        for j in started
        if j.time_to_first_token_ms <= j.arrival.kind.first_token_target_ms
    ]
    count = max(1, len(jobs))
    return ClassResult(
        name=name,
        offered=len(jobs),
        refused=len(refusals),
        refused_late=sum(
            (j.refused_at_ms or 0) - j.submitted_at_ms > 50 for j in refusals
        ),
        refusal_p99_ms=refusal_times.percentiles().p99,
        first_in_time=len(in_time) / count,
        gaps_in_time=sum(j.met_gap_targets for j in started)
        / max(1, len(started)),
        met=sum(j.met_targets for j in jobs) / count,
        goodput=sum(j.tokens for j in jobs if j.met_targets) / seconds,
        stall_s=sum(j.stall_ms for j in jobs) / 1000,
        preemptions=sum(j.preemptions for j in jobs),
        gap=gap.percentiles(),
        first=first_token_times.percentiles(),
    )


def fairness(jobs: list[Job]) -> float:
    """Returns Jain's index over the accounts' ratios of goodput to demand."""
    demand: Counter[str] = Counter()
    served: Counter[str] = Counter()
    for job in jobs:
        account = job.arrival.request.account
        demand[account] += job.arrival.output_tokens
        served[account] += job.tokens if job.met_targets else 0
    shares = [served[a] / demand[a] for a in demand]
    squares = sum(s * s for s in shares)
    if not squares:
        return 0.0
    return sum(shares) ** 2 / (len(shares) * squares)
