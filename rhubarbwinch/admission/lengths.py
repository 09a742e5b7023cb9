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
class Outlook:
    """The forecast of the remaining output of a stream.

    The KV cache use of a stream at a horizon is its current size plus the
    horizon, or 0 if it has ended by then. The mean and variance for an engine
    are summed over its streams from these values.

    Attributes:
        alive: The probability that the stream still runs at each of
            `HORIZONS`.
        mean_tokens: The expected number of tokens still to be generated.
        growth: Each probability multiplied by its horizon.
        spread: The variance of whether the stream still runs, per horizon.
    """

    alive: list[float]
    mean_tokens: float
    growth: list[float] = attrs.field(init=False)
    spread: list[float] = attrs.field(init=False)

    @growth.default
    def _growth(self) -> list[float]:
        return [h * a for h, a in zip(HORIZONS, self.alive, strict=True)]

    @spread.default
    def _spread(self) -> list[float]:
        return [a * (1 - a) for a in self.alive]


class LengthEstimator(Protocol):
    """Forecasts output lengths."""

    def outlook(self, request: PermitRequest, tokens: int) -> Outlook:
        """Returns the forecast of a stream after `tokens` output tokens."""
        ...

    def observe(
        self, request: PermitRequest, tokens: int, is_complete: bool
    ) -> None:
        """Learns an output length; censored unless `is_complete`."""
        ...


def _bin(tokens: int) -> int:
    if tokens <= 0:
        return 0
    place = int(math.log2(tokens) * BINS_PER_DOUBLING) + 1
    return min(place, MAX_BINS - 1)


def _edge(place: int) -> float:
    return 0.0 if place <= 0 else 2 ** ((place - 1) / BINS_PER_DOUBLING)


_LAST_HORIZON_BIN = _bin(HORIZONS[-1]) + 1


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
        self._unread = 0.0
        self._outlooks: dict[tuple[int, int], Outlook] = {}

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
        counts[_bin(tokens)] += self._weight
        self._total += self._weight
        self._unread += self._weight
        if self._unread > REBUILD_SHARE * self._total:
            self._rebuild()

    def chance(self, tokens: float) -> float:
        """Returns the probability that an output exceeds `tokens`."""
        place = _bin(int(tokens))
        low, high = _edge(place), _edge(place + 1)
        part = min(1.0, max(0.0, (tokens - low) / (high - low)))
        here = self._survival[place]
        return here + part * (self._survival[place + 1] - here)

    def outlook(self, tokens: int, max_tokens: int) -> Outlook:
        """Returns the forecast after `tokens` of at most `max_tokens`."""
        place = _bin(tokens)
        left = _bin(max_tokens - tokens) + 1 if max_tokens else MAX_BINS
        key = (place, min(left, _LAST_HORIZON_BIN))
        known = self._outlooks.get(key)
        if known is None:
            known = self._outlook_after(_edge(place))
            if left < _LAST_HORIZON_BIN:
                known = _bounded(known, int(_edge(left)))
            self._outlooks[key] = known
        return known

    def _outlook_after(self, tokens: float) -> Outlook:
        now = self.chance(tokens)
        if now <= 0:
            return _unknown(2 * int(tokens), int(tokens))
        alive = [min(1.0, self.chance(tokens + h) / now) for h in HORIZONS]
        return Outlook(alive, _mean(alive))

    def _rebuild(self) -> None:
        """Recomputes the curve as the product of each bin's survival."""
        self._unread = 0.0
        self._outlooks.clear()
        at_risk = self._total
        chance = 1.0
        for place in range(MAX_BINS):
            self._survival[place] = chance
            # Censored observations count as surviving the bin they are in.
            if at_risk > self._total * 1e-6:
                chance *= max(0.0, 1 - self._ended[place] / at_risk)
            at_risk -= self._ended[place] + self._censored[place]
        self._survival[MAX_BINS] = 0.0


def _mean(alive: list[float]) -> float:
    mean = 0.0
    for i in range(len(HORIZONS) - 1):
        width = HORIZONS[i + 1] - HORIZONS[i]
        mean += width * (alive[i] + alive[i + 1]) / 2
    return mean


def _bounded(outlook: Outlook, left: int) -> Outlook:
    alive = [
        a if h < left else 0.0
        for a, h in zip(outlook.alive, HORIZONS, strict=True)
    ]
    return Outlook(alive, min(outlook.mean_tokens, max(1, left)))


def _unknown(max_tokens: int, tokens: int) -> Outlook:
    """Returns the forecast for lengths that are uniform up to the limit."""
    left = max(1, max_tokens - tokens)
    alive = [max(0.0, 1 - h / left) for h in HORIZONS]
    return Outlook(alive, left / 2)


class LearnedLengths:
    """Learns output lengths by service, account and prompt length bucket."""

    def __init__(self) -> None:
        self._cells: dict[tuple[str, ...], SurvivalCurve] = {}

    def outlook(self, request: PermitRequest, tokens: int) -> Outlook:
        """Returns the forecast from the finest cell with enough data."""
        for key in _cell_keys(request):
            cell = self._cells.get(key)
            if cell is not None and cell.observations >= MIN_OBSERVATIONS:
                return cell.outlook(tokens, request.max_tokens)
        return _unknown(request.max_tokens, tokens)

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
