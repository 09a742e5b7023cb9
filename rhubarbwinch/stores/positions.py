"""Positions in a store's history that also order a restored store.

A store that is restored from a copy gives revisions out again, in a new era. A
position is a whole number with the era and the revision; in a store without
eras it equals the revision. Positions of a later era are higher than all
positions of earlier ones.
"""

REVISIONS_PER_ERA = 10**12


def position(era: int, revision: int) -> int:
    """Returns the position of a revision in an era."""
    return era * REVISIONS_PER_ERA + revision


def era_of(position_number: int) -> int:
    """Returns the era of a position."""
    return position_number // REVISIONS_PER_ERA


def revision_of(position_number: int) -> int:
    """Returns the revision of a position in its era."""
    return position_number % REVISIONS_PER_ERA
