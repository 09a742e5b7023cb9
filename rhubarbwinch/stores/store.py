"""The interface of the platform's key-value store, and its adapters."""

from collections.abc import AsyncIterator, Callable
from typing import Protocol

import attrs

from rhubarbwinch.shared.registry import Registry


@attrs.frozen
class Entry:
    """A key with its value.

    Attributes:
        key: The key.
        value: At most 1 MiB.
        revision: The store's revision at which the key last changed.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Listing:
    """The entries under a prefix at one revision of the store."""

    entries: list[Entry]
    revision: int


@attrs.frozen
class Swap:
    """The answer to a compare-and-swap.

    Attributes:
        won: Whether the value was written.
        revision: The revision written, or else of the value in the way.
        current: The value in the way; None if the key is absent.
    """

    won: bool
    revision: int
    current: Entry | None = None


@attrs.frozen
class Change:
    """One change under a watched prefix; no entry means a deletion."""

    key: str
    revision: int
    entry: Entry | None


@attrs.frozen
class ChangeBatch:
    """All changes under a watched prefix between two revisions.

    Attributes:
        after: The revision before the first change.
        revision: The revision up to which all changes are known.
        changes: In the order of their revisions.
    """

    after: int
    revision: int
    changes: list[Change]


class Store(Protocol):
    """A key-value store with compare-and-swap, leases and watches.

    Every method raises `StoreUnavailable` when certainly nothing was written,
    and `StoreUncertain` when a write may have taken effect.
    """

    async def get(self, key: str) -> Entry | None:
        """Returns the entry of `key`, or None."""
        ...

    async def scan(self, prefix: str) -> Listing:
        """Returns all entries whose keys start with `prefix`, by key."""
        ...

    async def swap(
        self, key: str, expected: int, value: bytes, lease: int = 0
    ) -> Swap:
        """Writes `value` if the key's revision is `expected`; 0 is absent."""
        ...

    async def delete(self, key: str, expected: int) -> Swap:
        """Deletes the key if its revision is `expected`."""
        ...

    async def grant_lease(self, ttl_ms: int) -> int:
        """Returns the id of a new lease."""
        ...

    async def keep_lease(self, lease: int) -> int:
        """Renews a lease; returns the milliseconds it has left, 0 if gone."""
        ...

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease; the keys under it are deleted."""
        ...

    def watch(self, prefix: str, after: int) -> AsyncIterator[Change]:
        """Yields every change under `prefix` after the revision `after`."""
        ...

    async def close(self) -> None:
        """Closes the connections."""
        ...


class PollingStore(Store, Protocol):
    """A store whose watches are answered by batches of changes."""

    async def poll(self, prefix: str, after: int, wait_ms: int) -> ChangeBatch:
        """Returns the changes after a revision, or waits for the first.

        Raises:
            StoreCompacted: The changes are no longer known.
            StoreUnavailable: The store did not answer.
        """
        ...


async def delete_prefix(store: Store, prefix: str) -> int:
    """Deletes what is under a prefix; returns how many keys there were.

    Raises:
        StoreError: Some of it may be left.
    """
    listing = await store.scan(prefix)
    for entry in listing.entries:
        await store.delete(entry.key, entry.revision)
    return len(listing.entries)


# Builds a store from its address, `a.b.c.d:port`, and a timeout for each call
# in milliseconds.
StoreFactory = Callable[[str, int], Store]

STORES: Registry[StoreFactory] = Registry("store adapter")
