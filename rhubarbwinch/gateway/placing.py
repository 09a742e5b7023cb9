"""Where a request goes: pure decisions from what is known at the moment.

Generations go where their memory fits and where fewest others run, since every
run on an engine slows the others, and an engine that runs out of memory
preempts one in the middle. Plain calls go where fewest are open for each slot.
"""

import random

import attrs

from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.loads import Load

# Shares of an engine's memory that new generations may fill. The rest is for
# answers that become longer than expected.
MEMORY_SHARE = 0.92
# How many of an engine's slots are used: at more the events come too slowly.
SLOT_SHARE = 1.0
# A prompt that is being read delays the others' events by so much of a run.
PREFILL_TOKENS_PER_RUN = 1_500
# A full memory counts like so many runs: it ends in a preemption.
FULL_MEMORY_RUNS = 8.0
# An engine that failed all its calls lately counts like so many runs.
FAILING_RUNS = 10.0
# Plain endpoints: how much a call costs more at one that failed all its calls,
# at one that is slow after its start, and in another data centre.
PLAIN_FAILURE_FACTOR = 4.0
PLAIN_WARMUP_FACTOR = 2.0
PLAIN_CROSS_FACTOR = 1.1
# Going to another data centre costs a little time and traffic.
CROSS_COST = 0.3
# An engine that is still slow after its start.
WARMUP_COST = 4.0


@attrs.frozen
class Candidate:
    """An endpoint that could take a request.

    Attributes:
        endpoint: The endpoint.
        load: What all gateways have running there.
        capacity_tokens: The memory of an engine in tokens; 0 without limit.
        is_warm: Whether it runs at its usual speed.
        failure_share: The share of calls that failed lately.
    """

    endpoint: Endpoint
    load: Load
    capacity_tokens: int = 0
    is_warm: bool = True
    failure_share: float = 0.0

    def fits(self, tokens: int, memory_share: float) -> bool:
        """Tells whether a run of a size fits beside the others."""
        if self.load.runs + 1 > self.endpoint.slots * SLOT_SHARE:
            return False
        if not self.capacity_tokens:
            return True
        most = self.capacity_tokens * memory_share
        return self.load.tokens + tokens <= most or not self.load.tokens


def choose_engine(
    candidates: list[Candidate],
    tokens: int,
    data_center: str,
    rng: random.Random,
    memory_share: float = MEMORY_SHARE,
) -> Candidate | None:
    """Returns the engine for a generation, or None if it fits nowhere now."""
    fitting = [c for c in candidates if c.fits(tokens, memory_share)]
    if not fitting:
        return None
    return min(
        fitting, key=lambda c: (_engine_cost(c, data_center), rng.random())
    )


def _engine_cost(candidate: Candidate, data_center: str) -> float:
    load = candidate.load
    cost = load.runs + load.prefill / PREFILL_TOKENS_PER_RUN
    if candidate.capacity_tokens:
        cost += FULL_MEMORY_RUNS * load.tokens / candidate.capacity_tokens
    if not candidate.is_warm:
        cost += WARMUP_COST
    if candidate.endpoint.data_center != data_center:
        cost += CROSS_COST
    return cost + FAILING_RUNS * candidate.failure_share


def choose_endpoint(
    candidates: list[Candidate], data_center: str, rng: random.Random
) -> Candidate | None:
    """Returns the endpoint for a plain call, or None without any."""
    if not candidates:
        return None
    return min(
        candidates, key=lambda c: (_plain_cost(c, data_center), rng.random())
    )


def _plain_cost(candidate: Candidate, data_center: str) -> float:
    cost = (candidate.load.runs + 1) / max(1, candidate.endpoint.slots)
    cost *= 1 + PLAIN_FAILURE_FACTOR * candidate.failure_share
    if not candidate.is_warm:
        cost *= PLAIN_WARMUP_FACTOR
    if candidate.endpoint.data_center != data_center:
        cost *= PLAIN_CROSS_FACTOR
    return cost
