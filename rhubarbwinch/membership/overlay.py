"""Whom a member sends heartbeats to: a random graph that all can compute."""

from collections.abc import Iterable

from rhubarbwinch.shared import rendezvous

RINGS = 4


def neighbours(me: str, names: Iterable[str]) -> list[str]:
    """Returns the members that come after `me` on each of some rings.

    Each ring orders the names by another hash. So every member has a few
    neighbours, is the neighbour of as many, and the graph stays connected
    when many of its nodes are lost.
    """
    others = [name for name in names if name != me]
    if len(others) <= RINGS:
        return sorted(others)
    return sorted({_successor(f"ring-{i}", me, others) for i in range(RINGS)})


def _successor(ring: str, me: str, others: list[str]) -> str:
    mine = rendezvous.score(ring, me)
    scores = [(rendezvous.score(ring, name), name) for name in others]
    after = [pair for pair in scores if pair[0] > mine]
    return min(after or scores)[1]
