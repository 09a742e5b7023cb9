"""Predicts output lengths from Kaplan-Meier curves that are learned online.

A cell is a service, account and bucket of prompt lengths. A cell with few
observations falls back to a coarser one. Streams that were cancelled or lost
count as censored: their output would have been at least that long.
"""

import math
from typing import Protocol

import attrs

from rhubarbwinch.links.messages import PermitRequest

MIN_OBSERVATIONS = 30
HALF_LIFE_OBSERVATIONS = 400
REBUILD_SHARE = 0.1
BINS_PER_DOUBLING = 6
MAX_BINS = 20 * BINS_PER_DOUBLING
# Numbers of further tokens for which forecasts are computed.
HORIZONS = (0, 32, 64, 128, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096)


@attrs.frozen
class LengthForecast:
    """The forecast of the remaining output of a stream.

    The KV cache use of a stream at a horizon is its current size plus the
    horizon, or 0 if it has ended by then. The mean and variance for an engine
    are summed over its streams from these values.

    Attributes:
        survival: The probability that the stream still runs at each of
            `HORIZONS`.
        mean_tokens: The expected number of tokens still to be generated.
        mean_growth: Each probability multiplied by its horizon.
        survival_variance: The variance, at each horizon, of the indicator
            that the stream still runs.
    """

    survival: list[float]
    mean_tokens: float
    mean_growth: list[float] = attrs.field(init=False)
    survival_variance: list[float] = attrs.field(init=False)

    @mean_growth.default
    def _mean_growth(self) -> list[float]:
        return [h * a for h, a in zip(HORIZONS, self.survival, strict=True)]

    @survival_variance.default
    def _survival_variance(self) -> list[float]:
        return [a * (1 - a) for a in self.survival]


class LengthEstimator(Protocol):
    """Forecasts output lengths."""

    def forecast(self, request: PermitRequest, tokens: int) -> LengthForecast:
        """Returns the forecast of a stream after `tokens` output tokens."""
        ...

    def observe(
        self, request: PermitRequest, tokens: int, is_complete: bool
    ) -> None:
        """Learns an output length; censored unless `is_complete`."""
        ...


def _bin_index(tokens: int) -> int:
    if tokens <= 0:
        return 0
    index = int(math.log2(tokens) * BINS_PER_DOUBLING) + 1
    return min(index, MAX_BINS - 1)


def _bin_start(index: int) -> float:
    return 0.0 if index <= 0 else 2 ** ((index - 1) / BINS_PER_DOUBLING)


_LAST_HORIZON_BIN = _bin_index(HORIZONS[-1]) + 1


class SurvivalCurve:
    """The survival curve of the output lengths of one cell.

    The weight of old observations decays.
    """

    def __init__(self) -> None:
        self._ended = [0.0] * MAX_BINS
        self._censored = [0.0] * MAX_BINS
        self._survival = [1.0] * (MAX_BINS + 1)
        self._weight = 1.0
        self._total = 0.0
        self._pending_weight = 0.0
        self._forecasts: dict[tuple[int, int], LengthForecast] = {}

    @property
    def observations(self) -> float:
        """The number of observations, weighted by their age."""
        return self._total / self._weight

    def add(self, tokens: int, is_complete: bool) -> None:
        """Adds an output length; censored unless `is_complete`."""
        # Increasing the weight of each new observation has the same effect as
        # decaying the weights of all old ones.
        self._weight *= 2 ** (1 / HALF_LIFE_OBSERVATIONS)
        counts = self._ended if is_complete else self._censored
        counts[_bin_index(tokens)] += self._weight
        self._total += self._weight
        self._pending_weight += self._weight
        if self._pending_weight > REBUILD_SHARE * self._total:
            self._rebuild()

    def survival_at(self, tokens: float) -> float:
        """Returns the probability that an output exceeds `tokens`."""
        index = _bin_index(int(tokens))
        low, high = _bin_start(index), _bin_start(index + 1)
        fraction = min(1.0, max(0.0, (tokens - low) / (high - low)))
        at_start = self._survival[index]
        return at_start + fraction * (self._survival[index + 1] - at_start)

    def forecast(self, tokens: int, max_tokens: int) -> LengthForecast:
        """Returns the forecast after `tokens` of at most `max_tokens`."""
        index = _bin_index(tokens)
        remaining = (
            _bin_index(max_tokens - tokens) + 1 if max_tokens else MAX_BINS
        )
        key = (index, min(remaining, _LAST_HORIZON_BIN))
        cached = self._forecasts.get(key)
        if cached is None:
            cached = self._forecast_after(_bin_start(index))
            if remaining < _LAST_HORIZON_BIN:
                cached = _truncated(cached, int(_bin_start(remaining)))
            self._forecasts[key] = cached
        return cached

    def _forecast_after(self, tokens: float) -> LengthForecast:
        now = self.survival_at(tokens)
        if now <= 0:
            return _uniform(2 * int(tokens), int(tokens))
        survival = [
            min(1.0, self.survival_at(tokens + h) / now) for h in HORIZONS
        ]
        return LengthForecast(survival, _mean_remaining(survival))

    def _rebuild(self) -> None:
        """Recomputes the curve as the product of each bin's survival."""
        self._pending_weight = 0.0
        self._forecasts.clear()
        at_risk = self._total
        survival = 1.0
        for index in range(MAX_BINS):
            self._survival[index] = survival
            # Censored observations count as surviving the bin they are in.
            if at_risk > self._total * 1e-6:
                survival *= max(0.0, 1 - self._ended[index] / at_risk)
            at_risk -= self._ended[index] + self._censored[index]
        self._survival[MAX_BINS] = 0.0


def _mean_remaining(survival: list[float]) -> float:
    mean = 0.0
    for i in range(len(HORIZONS) - 1):
        width = HORIZONS[i + 1] - HORIZONS[i]
        mean += width * (survival[i] + survival[i + 1]) / 2
    return mean


def _truncated(forecast: LengthForecast, remaining: int) -> LengthForecast:
    survival = [
        a if h < remaining else 0.0
        for a, h in zip(forecast.survival, HORIZONS, strict=True)
    ]
    return LengthForecast(
        survival, min(forecast.mean_tokens, max(1, remaining))
    )


def _uniform(max_tokens: int, tokens: int) -> LengthForecast:
    """Returns the forecast for lengths that are uniform up to the limit."""
    remaining = max(1, max_tokens - tokens)
    survival = [max(0.0, 1 - h / remaining) for h in HORIZONS]
    return LengthForecast(survival, remaining / 2)


class LearnedLengths:
    """Learns output lengths by service, account and prompt length bucket."""

    def __init__(self) -> None:
        self._cells: dict[tuple[str, ...], SurvivalCurve] = {}

    def forecast(self, request: PermitRequest, tokens: int) -> LengthForecast:
        """Returns the forecast from the finest cell with enough data."""
        for key in _cell_keys(request):
            cell = self._cells.get(key)
            if cell is not None and cell.observations >= MIN_OBSERVATIONS:
                return cell.forecast(tokens, request.max_tokens)
        return _uniform(request.max_tokens, tokens)

    def observe(
        self, request: PermitRequest, tokens: int, is_complete: bool
    ) -> None:
        """Learns an output length; censored unless `is_complete`."""
        for key in _cell_keys(request):
            cell = self._cells.get(key)
            if cell is None:
                cell = self._cells[key] = SurvivalCurve()
            cell.add(tokens, is_complete)


def _cell_keys(request: PermitRequest) -> list[tuple[str, ...]]:
    """Returns the keys of the request's cells, the finest first."""
    bucket = str(request.prompt_tokens.bit_length())
    service, account = request.service, request.account
    return [
        (service, account, bucket),
        (service, account),
        (service,),
        (),
    ]
