"""Chooses endpoints for new requests: pure decisions from the known state.

A generation goes to an engine whose free KV cache fits the generation and that
has the fewest runs, since every run on an engine slows the others and an engine
that runs out of KV cache preempts a run. A plain call goes to the endpoint with
the fewest open calls per slot.
"""

import random

import attrs

from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.loads import Load

# Share of an engine's KV cache that new generations may reserve. They reserve
# what they occupy on average: some have generated little while others are near
# their end. If all were counted with their whole output, short requests would
# wait for KV cache that long runs have not filled yet.
MAX_KV_CACHE_SHARE = 1.0
# Share of an engine's slots that is used. With more runs the events would come
# too slowly.
MAX_SLOT_SHARE = 1.0
# The same for an engine that falls over when it refuses requests. Gateways that
# place at the same moment do not know of each other's runs.
BRITTLE_SLOT_SHARE = 0.85
# Pending prefill delays the events of other runs. This many prompt tokens cost
# as much as one run.
PREFILL_TOKENS_PER_RUN = 1_500
# Cost of a full KV cache in runs, in proportion for a partly filled one. A full
# KV cache leads to preemption.
FULL_KV_CACHE_RUNS = 8.0
# Cost in runs of an engine whose recent calls have all failed.
FAILING_RUNS = 10.0
# Cost factors of plain endpoints. A failure share of 1 multiplies the cost by 1
# plus this factor; warm-up and another data centre multiply it directly.
PLAIN_FAILURE_FACTOR = 4.0
PLAIN_WARMUP_FACTOR = 2.0
PLAIN_OTHER_DATA_CENTER_FACTOR = 1.1
# Cost in runs of the new run itself, which decides how much a slow engine costs
# while it is idle.
OWN_RUNS = 4.0
# Cost in runs of an engine that is still warming up.
WARMUP_RUNS = 4.0


@attrs.frozen
class LoadFreshness:
    """What the age of the known loads means for the choice of an engine.

    Attributes:
        spread_runs: Engines whose cost is within this many runs of the lowest
            one count as equals, and one of them is chosen at random. Otherwise
            gateways that do not know each other's latest placements would all
            choose the same engine.
        other_data_center_runs: Cost in runs of an engine in another data
            centre, for latency and traffic, and for loads known later.
    """

    spread_runs: float
    other_data_center_runs: float


# Each gateway hears of each placement from the gateway that placed it.
DIRECT_LOADS = LoadFreshness(0.0, 0.3)
# Relays forward the loads of other data centres with a delay.
RELAYED_LOADS = LoadFreshness(0.5, 1.5)


@attrs.frozen
class Candidate:
    """An endpoint that could serve a request.

    Attributes:
        endpoint: The endpoint.
        load: The load of all gateways at the endpoint.
        capacity_tokens: The KV cache of an engine in tokens; 0 means no limit.
        is_warm: Whether the warm-up after its start has ended.
        failure_share: The share of recent calls that failed.
        is_rate_limited: Whether it accepts only some requests a second.
        is_brittle: Whether it falls over when it refuses many requests.
        slowness: The time that an engine takes, as a multiple of the usual one.
    """

    endpoint: Endpoint
    load: Load
    capacity_tokens: int = 0
    is_warm: bool = True
    failure_share: float = 0.0
    is_rate_limited: bool = False
    is_brittle: bool = False
    slowness: float = 1.0

    def fits(self, tokens: int, kv_cache_share: float) -> bool:
        """Returns whether a run of `tokens` fits beside the other runs.

        An engine without reserved KV cache takes a run of any size.
        """
        slot_share = BRITTLE_SLOT_SHARE if self.is_brittle else MAX_SLOT_SHARE
        if self.load.runs + 1 > self.endpoint.slots * slot_share:
            return False
        if not self.capacity_tokens:
            return True
        limit = self.capacity_tokens * kv_cache_share
        return self.load.tokens + tokens <= limit or not self.load.tokens


def choose_engine(
    candidates: list[Candidate],
    tokens: int,
    data_center: str,
    rng: random.Random,
    kv_cache_share: float = MAX_KV_CACHE_SHARE,
    freshness: LoadFreshness = DIRECT_LOADS,
) -> Candidate | None:
    """Returns the engine for a generation, or None if none has capacity.

    Args:
        candidates: The engines that accept new requests.
        tokens: The KV cache that the run occupies on average, in tokens.
        data_center: The data centre of this gateway.
        rng: Chooses among equals.
        kv_cache_share: The share of a KV cache that may be reserved.
        freshness: How current the loads of the candidates are.
    """
    costs = [
        (_engine_cost(c, data_center, freshness), c)
        for c in candidates
        if c.fits(tokens, kv_cache_share)
    ]
    if not costs:
        return None
    limit = min(cost for cost, _ in costs) + freshness.spread_runs
    return rng.choice([c for cost, c in costs if cost <= limit])


def _engine_cost(
    candidate: Candidate, data_center: str, freshness: LoadFreshness
) -> float:
    load = candidate.load
    cost = OWN_RUNS + load.runs + load.prefill / PREFILL_TOKENS_PER_RUN
    if candidate.capacity_tokens:
        cost += FULL_KV_CACHE_RUNS * load.tokens / candidate.capacity_tokens
    cost *= candidate.slowness
    if not candidate.is_warm:
        cost += WARMUP_RUNS
    if candidate.endpoint.data_center != data_center:
        cost += freshness.other_data_center_runs
    return cost + FAILING_RUNS * candidate.failure_share


def choose_plain_endpoint(
    candidates: list[Candidate], data_center: str, rng: random.Random
) -> Candidate | None:
    """Returns the endpoint for a plain call, or None without candidates."""
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
        cost *= PLAIN_OTHER_DATA_CENTER_FACTOR
    return cost
