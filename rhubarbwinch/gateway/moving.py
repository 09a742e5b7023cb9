"""How a generation is carried off an engine that leaves: pure decisions.

It answers engines that leave about two seconds after their notice with several
runs on them. Copying a run takes some hundred milliseconds of the engine's
link, one after another, and the run goes on meanwhile. It is not stopped: when
its engine ends, it goes on from the copy, and only what came after the copy is
read again, some milliseconds of work.
"""

import random

from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.placing import FAILING_RUNS, Candidate

# Moves may fill an engine further than new work: the run has been paid for.
MOVE_MEMORY_SHARE = 1.0
# An engine that has failed more often lately is no place for a copy.
MAX_FAILURE_SHARE = 0.25
# An engine that follows runs of others keeps room for work of its own: a copy
# is a precaution. The same holds for all engines together: a burst, or the
# loss of some, needs the memory for work.
BACKUP_MEMORY_SHARE = 0.7
BACKUP_POOL_SHARE = 0.5
# A copy to another data centre takes twice as long, and every run on the
# leaving engine waits for it, so it has to be much emptier there.
CROSS_RUNS = 4.0
# What came after the copy is read again before the run goes on, so the copy is
# kept young: it takes some milliseconds of the link, and the pause of the
# stream stays short.
REFRESH_MS = 400
# A copy that took long is behind by what its run has made meanwhile. From about
# so many events on the pause may pass what routes allow, so that it is renewed
# soon.
MAX_EVENTS_BEHIND = 10
CATCH_UP_MS = 40


def choose_home(
    candidates: list[Candidate],
    source: Endpoint,
    tokens: int,
    rng: random.Random,
    memory_share: float = MOVE_MEMORY_SHARE,
) -> Candidate | None:
    """Returns the engine that takes over a run, or None without room."""
    fitting = [
        c
        for c in candidates
        if c.fits(tokens, memory_share) and c.failure_share < MAX_FAILURE_SHARE
    ]
    if not fitting:
        return None
    return min(fitting, key=lambda c: (_cost(c, source), rng.random()))


def choose_backup(
    candidates: list[Candidate],
    source: Endpoint,
    tokens: int,
    rng: random.Random,
) -> Candidate | None:
    """Returns the engine that follows a run, or None when memory is scarce.

    Args:
        candidates: The engines that take new work, the run's own left out.
        source: The engine that runs it.
        tokens: The memory that the run is expected to need, in tokens.
        rng: Breaks ties.
    """
    used = sum(c.load.tokens for c in candidates) + tokens
    there_is = sum(c.capacity_tokens for c in candidates)
    if used > there_is * BACKUP_POOL_SHARE:
        return None
    return choose_home(candidates, source, tokens, rng, BACKUP_MEMORY_SHARE)


def refresh_after_ms(events_behind: int) -> int:
    """Returns how long a copy is kept before it is renewed.

    Args:
        events_behind: Events that its run has made since it was taken.
    """
    return CATCH_UP_MS if events_behind > MAX_EVENTS_BEHIND else REFRESH_MS


def _cost(candidate: Candidate, source: Endpoint) -> float:
    cost = candidate.load.runs + FAILING_RUNS * candidate.failure_share
    if candidate.endpoint.data_center != source.data_center:
        cost += CROSS_RUNS
    return cost
