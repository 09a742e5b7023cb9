"""Chooses the heartbeat neighbours: a random graph that all members compute."""

from collections.abc import Iterable

from rhubarbwinch.shared import rendezvous

RINGS = 4


def neighbours(me: str, names: Iterable[str]) -> list[str]:
    """Returns the successor of `me` on each of `RINGS` rings.

    Each ring orders the names by a different hash. So every member has a few
    neighbours, is a neighbour of equally many members, and the graph stays
    connected when many of its nodes fail.
    """
    others = [name for name in names if name != me]
    if len(others) <= RINGS:
        return sorted(others)
    return sorted({_successor(f"ring-{i}", me, others) for i in range(RINGS)})


def _successor(ring: str, me: str, others: list[str]) -> str:
    own_score = rendezvous.score(ring, me)
    scores = [(rendezvous.score(ring, name), name) for name in others]
    following = [pair for pair in scores if pair[0] > own_score]
    return min(following or scores)[1]
