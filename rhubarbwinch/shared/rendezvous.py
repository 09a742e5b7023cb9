"""Rendezvous hashing: every member computes the same owner from the names."""

from collections.abc import Iterable

import xxhash


def score(key: str, member: str) -> int:
    """Returns the weight of `member` for `key`, from 0 to 2**64 - 1."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def ranking(key: str, members: Iterable[str]) -> list[str]:
    """Returns the members, best first for `key`."""
    return sorted(
        members, key=lambda member: (score(key, member), member), reverse=True
    )


def owner(key: str, members: Iterable[str]) -> str | None:
    """Returns the member that owns `key`, or None without members."""
    return max(
        members,
        key=lambda member: (score(key, member), member),
        default=None,
    )
