"""Chooses migration targets and standby engines: pure decisions.

Leaving engines shut down about two seconds after their notice, with several
runs on them. Copying the KV cache of a run takes some hundred milliseconds of
the engine's network link, and the runs are copied one after another. A run is
not stopped while it is copied. When its engine shuts down, the run resumes at
the target from the copy; only tokens generated after the copy need prefill,
which takes some milliseconds. A KV cache is of use only at engines of the
software version that wrote it.
"""

import random

from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.placement import FAILING_RUNS, OWN_RUNS, Candidate

# A migrated run has generated a part of its output, so it soon occupies more
# than its reservation.
TARGET_KV_CACHE_SHARE = 0.9
# An engine with a larger share of recent failures is no migration target.
MAX_FAILURE_SHARE = 0.25
# Replicas of runs are a precaution, so a standby engine keeps KV cache free for
# runs of its own. The second bound holds for all engines together: a burst or
# the loss of engines needs their KV cache for runs.
STANDBY_KV_CACHE_SHARE = 0.62
STANDBY_TOTAL_SHARE = 0.44
# Cost in runs of a target in another data centre. A copy to there takes twice
# as long, and all other runs on the leaving engine wait for it, so such a
# target must have a much lower load.
TARGET_OTHER_DATA_CENTER_RUNS = 4.0
# Cost in runs of a target that limits its requests a second: a run that resumes
# there may have to wait.
RATE_LIMITED_RUNS = 20.0
# Tokens generated after the copy need prefill before the run resumes. Frequent
# refreshes keep the pause of the stream short and take only some milliseconds
# of the network link.
COPY_REFRESH_MS = 400
# A slow copy lacks the events that its run generated during the transfer. With
# more missing events than this, the pause could exceed the bound of a route, so
# the copy is refreshed early.
MAX_EVENTS_BEHIND = 10
EARLY_REFRESH_MS = 40


def choose_target(
    candidates: list[Candidate],
    source: Endpoint,
    tokens: int,
    rng: random.Random,
    kv_cache_share: float = TARGET_KV_CACHE_SHARE,
) -> Candidate | None:
    """Returns the migration target of a run, or None without capacity.

    Args:
        candidates: The engines that accept new requests.
        source: The engine that executes the run.
        tokens: The KV cache that the run is expected to need, in tokens.
        rng: Breaks ties.
        kv_cache_share: The share of a KV cache that may be reserved.
    """
    fitting = [
        c
        for c in candidates
        if c.endpoint.version == source.version
        and c.fits(tokens, kv_cache_share)
        and c.failure_share < MAX_FAILURE_SHARE
    ]
    if not fitting:
        return None
    return min(fitting, key=lambda c: (_cost(c, source), rng.random()))


def choose_standby(
    candidates: list[Candidate],
    source: Endpoint,
    tokens: int,
    rng: random.Random,
) -> Candidate | None:
    """Returns the standby engine of a run, or None if KV cache is scarce.

    Args:
        candidates: The engines that accept new requests, without the run's own
            and of all versions.
        source: The run's engine.
        tokens: The KV cache that the run is expected to need, in tokens.
        rng: Breaks ties.
    """
    reserved = sum(c.load.tokens for c in candidates) + tokens
    capacity = sum(c.capacity_tokens for c in candidates)
    if reserved > capacity * STANDBY_TOTAL_SHARE:
        return None
    return choose_target(
        candidates, source, tokens, rng, STANDBY_KV_CACHE_SHARE
    )


def refresh_after_ms(events_behind: int) -> int:
    """Returns after how long a copy is refreshed.

    Args:
        events_behind: Events that the run has made since the copy was taken.
    """
    return (
        EARLY_REFRESH_MS
        if events_behind > MAX_EVENTS_BEHIND
        else COPY_REFRESH_MS
    )


def _cost(candidate: Candidate, source: Endpoint) -> float:
    cost = (OWN_RUNS + candidate.load.runs) * candidate.slowness
    cost += FAILING_RUNS * candidate.failure_share
    if candidate.endpoint.data_center != source.data_center:
        cost += TARGET_OTHER_DATA_CENTER_RUNS
    if candidate.is_rate_limited:
        cost += RATE_LIMITED_RUNS
    return cost
