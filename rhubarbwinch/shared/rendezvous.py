"""Rendezvous hashing, by which all members compute the same owner of a key."""

from collections.abc import Iterable

import xxhash


def score(key: str, member: str) -> int:
    """Returns the weight of `member` for `key`, from 0 to 2**64 - 1."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def ranking(key: str, members: Iterable[str]) -> list[str]:
    """Returns the members by descending score for `key`."""
    return sorted(
        members, key=lambda member: (score(key, member), member), reverse=True
    )


def owner(key: str, members: Iterable[str]) -> str | None:
    """Returns the member that owns `key`; None if there are no members."""
    return max(
        members,
        key=lambda member: (score(key, member), member),
        default=None,
    )
