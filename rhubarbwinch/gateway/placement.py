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

# Share of an engine's KV cache that new generations may reserve. The rest is
# for outputs that become longer than predicted.
MAX_KV_CACHE_SHARE = 0.92
# Share of an engine's slots that is used. With more runs the events would come
# too slowly.
MAX_SLOT_SHARE = 1.0
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
# Cost in runs of an engine in another data centre, for latency and traffic.
OTHER_DATA_CENTER_RUNS = 0.3
# Cost in runs of an engine that is still warming up.
WARMUP_RUNS = 4.0


@attrs.frozen
class Candidate:
    """An endpoint that could serve a request.

    Attributes:
        endpoint: The endpoint.
        load: The load of all gateways at the endpoint.
        capacity_tokens: The KV cache of an engine in tokens; 0 means no limit.
        is_warm: Whether the warm-up after its start has ended.
        failure_share: The share of recent calls that failed.
    """

    endpoint: Endpoint
    load: Load
    capacity_tokens: int = 0
    is_warm: bool = True
    failure_share: float = 0.0

    def fits(self, tokens: int, kv_cache_share: float) -> bool:
        """Returns whether a run of `tokens` fits beside the other runs.

        An engine without reserved KV cache takes a run of any size.
        """
        if self.load.runs + 1 > self.endpoint.slots * MAX_SLOT_SHARE:
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
) -> Candidate | None:
    """Returns the engine for a generation, or None if none has capacity."""
    fitting = [c for c in candidates if c.fits(tokens, kv_cache_share)]
    if not fitting:
        return None
    return min(
        fitting, key=lambda c: (_engine_cost(c, data_center), rng.random())
    )


def _engine_cost(candidate: Candidate, data_center: str) -> float:
    load = candidate.load
    cost = load.runs + load.prefill / PREFILL_TOKENS_PER_RUN
    if candidate.capacity_tokens:
        cost += FULL_KV_CACHE_RUNS * load.tokens / candidate.capacity_tokens
    if not candidate.is_warm:
        cost += WARMUP_RUNS
    if candidate.endpoint.data_center != data_center:
        cost += OTHER_DATA_CENTER_RUNS
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
