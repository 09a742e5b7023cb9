"""What a pool's owner knows of an endpoint: its load and its streams."""

import math
from collections import OrderedDict

import attrs

from rhubarbwinch.admission.lengths import HORIZONS, LengthEstimator
from rhubarbwinch.admission.steptime import StepTime
from rhubarbwinch.links.messages import PermitRequest
from rhubarbwinch.records.records import EndpointSpec

BLOCK_TOKENS = 64
MAX_HINTS = 4096
SILENCE_MS = 2500
FORECAST_MS = 1000
SMALL_CHANCE = 0.02
DEFAULT_STEP_MS = 30.0
_COUNT = len(HORIZONS)


@attrs.frozen
class LoadReport:
    """What an engine says of its load, with a lag.

    Attributes:
        endpoint: The endpoint's name.
        at_ms: When it was true, on the pool's clock.
        running: Requests in the batch.
        waiting: Requests before the batch.
        used_tokens: Tokens resident in memory.
        capacity_tokens: Tokens that fit.
        step_ms: The time of the last decoding step.
        preemptions: Requests thrown out of memory since the start.
    """

    endpoint: str
    at_ms: int
    running: int = 0
    waiting: int = 0
    used_tokens: int = 0
    capacity_tokens: int = 0
    step_ms: float = 0.0
    preemptions: int = 0


@attrs.frozen
class CacheReport:
    """Prompt blocks that an engine says it cached or dropped; a hint.

    Attributes:
        endpoint: The endpoint's name.
        stored: Hashes of blocks that came in.
        dropped: Hashes of blocks that went out.
        is_complete: False if events were lost before these.
    """

    endpoint: str
    stored: list[int] = attrs.field(factory=list)
    dropped: list[int] = attrs.field(factory=list)
    is_complete: bool = True


@attrs.define(eq=False)
class Stream:
    """A granted request.

    Attributes:
        request: The request.
        endpoint: The endpoint that it runs on.
        granted_ms: When it was granted.
        expected_tokens: What counts against the account's room.
        tokens: Tokens generated at `at_ms`.
        at_ms: When `tokens` was true.
        forecast_ms: When its forecast was made.
        priority: The engine priority.
        left_tokens: The expected tokens still to come.
        last_horizon: How many horizons it may well live to see.
        mean: What it adds to the expected memory at each horizon.
        variance: What it adds to the variance at each horizon.
    """

    request: PermitRequest
    endpoint: str
    granted_ms: int
    expected_tokens: int
    tokens: int = 0
    at_ms: int = 0
    forecast_ms: int = 0
    priority: int = 0
    left_tokens: float = 0.0
    last_horizon: int = _COUNT
    mean: list[float] = attrs.field(factory=list)
    variance: list[float] = attrs.field(factory=list)

    @property
    def expected_steps(self) -> int:
        """The output tokens that were expected of it at its start."""
        return self.expected_tokens - self.request.prompt_tokens

    def tokens_at(self, now_ms: int, step_ms: float) -> int:
        """Returns the tokens that it should have by now."""
        return self.tokens + int(max(0, now_ms - self.at_ms) / step_ms)

    def forecast(self, tokens: int, lengths: LengthEstimator) -> None:
        """Works out its memory at each horizon after `tokens` tokens."""
        outlook = lengths.outlook(self.request, tokens)
        size = self.request.prompt_tokens + tokens
        self.left_tokens = outlook.mean_tokens
        self.mean = [
            size * alive + growth
            for alive, growth in zip(outlook.alive, outlook.growth, strict=True)
        ]
        alive = [a for a in outlook.alive if a >= SMALL_CHANCE]
        self.last_horizon = max(1, len(alive))
        self.variance = [
            (size + horizon) ** 2 * spread
            for horizon, spread in zip(HORIZONS, outlook.spread, strict=True)
        ]


class EngineState:
    """One endpoint of a pool.

    Args:
        spec: Its record.
    """

    def __init__(self, spec: EndpointSpec) -> None:
        self.spec = spec
        self.streams: dict[str, Stream] = {}
        self.load: LoadReport | None = None
        self.cost_ms = 0.0
        self.excess_tokens = 0.0
        self.refreshed_ms = 0
        self._heard_ms: int | None = None
        self._suspect_ms: int | None = None
        self._mean = [0.0] * _COUNT
        self._variance = [0.0] * _COUNT
        self._cached: OrderedDict[int, None] = OrderedDict()

    @property
    def outstanding(self) -> int:
        """Requests that were granted and have not ended."""
        return len(self.streams)

    @property
    def capacity_tokens(self) -> int:
        """Tokens that fit; 0 while it is not known."""
        return self.load.capacity_tokens if self.load else 0

    @property
    def step_ms(self) -> float:
        """The step time that it reported last."""
        known = self.load is not None and self.load.step_ms > 0
        return self.load.step_ms if self.load and known else DEFAULT_STEP_MS

    @property
    def resident_tokens(self) -> float:
        """The expected memory in use now."""
        return self._mean[0] + self.excess_tokens

    def add(self, stream: Stream) -> None:
        """Takes a stream whose forecast is made."""
        self.streams[stream.request.request_id] = stream
        self._sum(stream, 1)

    def remove(self, stream: Stream) -> None:
        """Drops a stream."""
        if self.streams.pop(stream.request.request_id, None) is not None:
            self._sum(stream, -1)

    def refresh(self, now_ms: int, lengths: LengthEstimator) -> None:
        """Works out all forecasts anew."""
        self.refreshed_ms = now_ms
        step_ms = self.step_ms
        for stream in self.streams.values():
            # Short answers end before a new forecast would tell more.
            if now_ms - stream.forecast_ms >= FORECAST_MS:
                stream.forecast(stream.tokens_at(now_ms, step_ms), lengths)
                stream.forecast_ms = now_ms
        held = list(self.streams.values())
        self._mean = _totals([s.mean for s in held])
        self._variance = _totals([s.variance for s in held])

    def peak_with(self, stream: Stream | None, deviations: float) -> float:
        """Returns the upper quantile of peak memory, with one more stream.

        Args:
            stream: The stream that might be added, or None.
            deviations: The quantile, in standard deviations over the mean.
        """
        means, variances = self._mean, self._variance
        if stream is not None:
            means = [a + b for a, b in zip(means, stream.mean, strict=True)]
            variances = [
                a + b for a, b in zip(variances, stream.variance, strict=True)
            ]
            # A stream is not kept out by a peak after its own end.
            last = stream.last_horizon
            means, variances = means[:last], variances[:last]
        peak = max(
            mean + deviations * math.sqrt(variance)
            for mean, variance in zip(means, variances, strict=True)
        )
        return peak + self.excess_tokens

    def rank(self, step_time: StepTime, deviations: float) -> None:
        """Works out the step time by which placement ranks endpoints."""
        peak = self.peak_with(None, deviations)
        self.cost_ms = step_time.predict(len(self.streams), peak)

    def soon_tokens(self) -> float:
        """Returns the memory expected at the first horizon after now."""
        return self._mean[1] + self.excess_tokens

    def take_load(self, report: LoadReport, now_ms: int) -> None:
        """Takes a report; one that is older than the last is ignored."""
        if self.load is None or report.at_ms >= self.load.at_ms:
            self.load = report
            self._heard_ms = now_ms
            if self._suspect_ms is not None and report.at_ms > self._suspect_ms:
                self._suspect_ms = None

    def suspect(self, now_ms: int) -> None:
        """Notes that a request was lost on it."""
        self._suspect_ms = now_ms

    def is_silent(self, now_ms: int) -> bool:
        """Tells whether it is probably gone.

        An endpoint that reports load is trusted while it reports; one that
        never does is trusted again a while after a loss.
        """
        if self._heard_ms is None:
            lost_ms = self._suspect_ms
            return lost_ms is not None and now_ms - lost_ms < SILENCE_MS
        silence_ms = now_ms - self._heard_ms
        return self._suspect_ms is not None or silence_ms > SILENCE_MS

    def take_cache(self, report: CacheReport) -> None:
        """Takes cache events; after a gap the old hints count no more."""
        if not report.is_complete:
            self._cached.clear()
        self.expect_cached(report.stored)
        for block in report.dropped:
            self._cached.pop(block, None)

    def expect_cached(self, prefix: list[int]) -> None:
        """Notes blocks that it has, or will have once it has read them."""
        for block in prefix:
            self._cached[block] = None
            self._cached.move_to_end(block)
        while len(self._cached) > MAX_HINTS:
            self._cached.popitem(last=False)

    def cached_tokens(self, prefix: list[int]) -> int:
        """Returns the prompt tokens that are probably cached."""
        hits = 0
        for block in prefix:
            if block not in self._cached:
                break
            hits += 1
        return hits * BLOCK_TOKENS

    def _sum(self, stream: Stream, sign: int) -> None:
        self._mean = [
            max(0.0, a + sign * b)
            for a, b in zip(self._mean, stream.mean, strict=True)
        ]
        self._variance = [
            max(0.0, a + sign * b)
            for a, b in zip(self._variance, stream.variance, strict=True)
        ]


def _totals(rows: list[list[float]]) -> list[float]:
    return [sum(column) for column in zip(*rows, strict=True)] or [0.0] * _COUNT
