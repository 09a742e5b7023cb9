"""Placement policies, which choose the endpoint that a request runs on."""

import heapq
import random
from collections.abc import Callable
from typing import Protocol

from rhubarbwinch.admission.enginestate import EngineState, Stream
from rhubarbwinch.admission.steptime import StepTime
from rhubarbwinch.shared.registry import Registry

TOKEN_GAP_TARGET_MS = 41.0
# For engines that miss the gap target even with one stream: the factor by
# which a step may take longer than with one stream.
SLOW_ENGINE_FACTOR = 1.25
# Standard deviations above the mean KV cache use for which space is required.
# With 2, about one admission in 40 exceeds the capacity.
KV_CACHE_DEVIATIONS = 2.0
HEADROOM_SHARE = 0.12
PREFILL_MS_PER_TOKEN = 0.04
# Weight of the prefill time saved by cached blocks against the step time. A
# prefill delays one step, but a stream takes part in every step until it ends.
PREFILL_WEIGHT = 0.25
MAX_CANDIDATES = 3


class PlacementPolicy(Protocol):
    """Chooses among the endpoints that may run a request."""

    def choose(
        self, stream: Stream, engines: list[EngineState]
    ) -> EngineState | None:
        """Returns the endpoint for a stream, or None to keep it queued."""
        ...


POLICIES: Registry[Callable[[StepTime, random.Random], PlacementPolicy]] = (
    Registry("placement policy")
)


class _BasePolicy:
    """The base class of policies, with random tie breaking."""

    def __init__(self, step_time: StepTime, rng: random.Random) -> None:
        self._step_time = step_time
        self._rng = rng

    def _choose_minimum(
        self, engines: list[EngineState], key: Callable[[EngineState], float]
    ) -> EngineState | None:
        if not engines:
            return None
        least = min(key(e) for e in engines)
        return self._rng.choice([e for e in engines if key(e) == least])


@POLICIES.register("round-robin")
class RoundRobin(_BasePolicy):
    """Chooses the endpoints in turn."""

    def __init__(self, step_time: StepTime, rng: random.Random) -> None:
        super().__init__(step_time, rng)
        self._turn = 0

    def choose(
        self, stream: Stream, engines: list[EngineState]
    ) -> EngineState | None:
        """Returns the next endpoint."""
        if not engines:
            return None
        self._turn += 1
        return engines[self._turn % len(engines)]


@POLICIES.register("least-outstanding")
class LeastOutstanding(_BasePolicy):
    """Chooses the endpoint with the fewest requests that have not ended."""

    def choose(
        self, stream: Stream, engines: list[EngineState]
    ) -> EngineState | None:
        """Returns the endpoint with the fewest requests."""
        return self._choose_minimum(engines, lambda e: e.outstanding)


@POLICIES.register("least-load")
class LeastLoad(_BasePolicy):
    """Chooses the endpoint that reported the least KV cache use."""

    def choose(
        self, stream: Stream, engines: list[EngineState]
    ) -> EngineState | None:
        """Returns the endpoint with the least reported load."""
        return self._choose_minimum(engines, _reported_tokens)


def _reported_tokens(engine: EngineState) -> float:
    load = engine.load
    return load.used_tokens + load.waiting if load else 0.0


@POLICIES.register("reserve-maximum")
class ReserveMaximum(_BasePolicy):
    """Reserves KV cache for the prompt and `max_tokens` of each request."""

    def choose(
        self, stream: Stream, engines: list[EngineState]
    ) -> EngineState | None:
        """Returns the endpoint with the fewest reserved tokens that fits."""
        additional = _max_tokens(stream)
        fitting = [
            e
            for e in engines
            if not e.capacity_tokens
            or _reserved_tokens(e) + additional <= e.capacity_tokens
        ]
        return self._choose_minimum(fitting, _reserved_tokens)


def _max_tokens(stream: Stream) -> int:
    return stream.request.prompt_tokens + stream.request.max_tokens


def _reserved_tokens(engine: EngineState) -> float:
    return float(sum(_max_tokens(s) for s in engine.streams.values()))


@POLICIES.register("quantile")
class Quantile(_BasePolicy):
    """Admits while an upper quantile of the predicted peak KV cache use fits.

    Background requests leave headroom for interactive ones, and no request
    may raise the predicted step time above the token gap target.
    """

    def choose(
        self, stream: Stream, engines: list[EngineState]
    ) -> EngineState | None:
        """Returns the cheapest candidate endpoint on which the stream fits."""
        best = heapq.nsmallest(
            MAX_CANDIDATES, engines, key=lambda e: self._cost_ms(stream, e)
        )
        for engine in best:
            if self._fits(stream, engine):
                return engine
        return None

    def _cost_ms(self, stream: Stream, engine: EngineState) -> float:
        """Returns the step time less the prefill time saved, in ms."""
        if engine.load is None:
            return engine.outstanding * self._rng.uniform(1.0, 1.001)
        step = engine.cost_ms
        prefix = stream.request.prefix
        if not prefix:
            return step
        saved = engine.cached_tokens(prefix) * PREFILL_MS_PER_TOKEN
        return step - PREFILL_WEIGHT * saved

    def _fits(self, stream: Stream, engine: EngineState) -> bool:
        capacity = engine.capacity_tokens
        if not capacity:
            return True
        is_background = not stream.request.interactive
        if is_background:
            capacity = int(capacity * (1 - HEADROOM_SHARE))
        if engine.peak_tokens_with(stream, KV_CACHE_DEVIATIONS) > capacity:
            return False
        return self._meets_gap_target(engine, stream, is_background)

    def _meets_gap_target(
        self, engine: EngineState, stream: Stream, is_background: bool
    ) -> bool:
        if not self._step_time.is_learned or not engine.outstanding:
            # Predictions can be wrong, so they never keep an engine idle.
            return True
        batch = engine.outstanding + 1
        step = self._step_time.predict(
            batch, engine.peak_tokens_with(stream, 0.0)
        )
        share = 1 - HEADROOM_SHARE if is_background else 1.0
        # Engines that miss the target even with a single stream must still
        # serve, so a step time close to their best is accepted.
        best = self._step_time.predict(1, float(stream.request.prompt_tokens))
        return step <= max(
            TOKEN_GAP_TARGET_MS * share, SLOW_ENGINE_FACTOR * best
        )
