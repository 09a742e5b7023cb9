"""Defines the interface of the key-value store and the adapter registry."""

from collections.abc import AsyncIterator, Callable
from typing import Protocol

import attrs

from rhubarbwinch.shared.registry import Registry


@attrs.frozen
class KeyValue:
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

    entries: list[KeyValue]
    revision: int


@attrs.frozen
class SwapResult:
    """The result of a compare-and-swap.

    Attributes:
        succeeded: Whether the value was written.
        revision: The new revision if the value was written, else that of the
            current value.
        current: If nothing was written, the current value; None if the key is
            absent.
    """

    succeeded: bool
    revision: int
    current: KeyValue | None = None


@attrs.frozen
class Change:
    """One change under a watched prefix; for a deletion the entry is None."""

    key: str
    revision: int
    entry: KeyValue | None


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

    Every method raises `StoreUnavailable` if it is certain that nothing was
    written, and `StoreUncertain` if a write may have taken effect.
    """

    async def get(self, key: str) -> KeyValue | None:
        """Returns the entry of `key`, or None."""
        ...

    async def scan(self, prefix: str) -> Listing:
        """Returns all entries whose keys start with `prefix`, by key."""
        ...

    async def swap(
        self, key: str, expected: int, value: bytes, lease: int = 0
    ) -> SwapResult:
        """Writes `value` if the key's revision is `expected` (0: no key)."""
        ...

    async def delete(self, key: str, expected: int) -> SwapResult:
        """Deletes the key if its revision is `expected`."""
        ...

    async def grant_lease(self, ttl_ms: int) -> int:
        """Returns the id of a new lease."""
        ...

    async def renew_lease(self, lease: int) -> int:
        """Renews a lease; returns its remaining ms, or 0 if it has ended."""
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
    """A store whose changes are read by long polling."""

    async def poll(self, prefix: str, after: int, wait_ms: int) -> ChangeBatch:
        """Returns the changes after a revision; waits if there are none.

        Args:
            prefix: The prefix of the keys.
            after: The revision after which changes are returned.
            wait_ms: The longest wait for a change.

        Raises:
            StoreCompacted: The store no longer has the changes.
            StoreUnavailable: The store did not respond.
        """
        ...


async def delete_prefix(store: Store, prefix: str) -> int:
    """Deletes all keys under a prefix; returns the number of keys found.

    Raises:
        StoreError: Some of the keys may not have been deleted.
    """
    listing = await store.scan(prefix)
    for entry in listing.entries:
        await store.delete(entry.key, entry.revision)
    return len(listing.entries)


# Builds a store from its address, `a.b.c.d:port`, and a timeout for each call
# in milliseconds.
StoreFactory = Callable[[str, int], Store]

STORES: Registry[StoreFactory] = Registry("store adapter")
