"""Wraps a store so that its calls become spans of the request's trace."""

from collections.abc import AsyncIterator

from rhubarbwinch.shared import tracing
from rhubarbwinch.stores.store import (
    Change,
    KeyValue,
    Listing,
    Store,
    SwapResult,
)


class TracedStore:
    """Forwards calls to another store, each in a span.

    Calls outside a recorded span, such as lease renewals, create no span.

    Args:
        store: The store to which calls are forwarded.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    async def get(self, key: str) -> KeyValue | None:
        """Returns the entry of `key`, or None."""
        if not tracing.is_recording():
            return await self._store.get(key)
        with tracing.span("store", call="get", key=key):
            return await self._store.get(key)

    async def scan(self, prefix: str) -> Listing:
        """Returns all entries whose keys start with `prefix`, by key."""
        if not tracing.is_recording():
            return await self._store.scan(prefix)
        with tracing.span("store", call="scan", key=prefix):
            return await self._store.scan(prefix)

    async def swap(
        self, key: str, expected: int, value: bytes, lease: int = 0
    ) -> SwapResult:
        """Writes `value` if the key's revision is `expected` (0: no key)."""
        if not tracing.is_recording():
            return await self._store.swap(key, expected, value, lease)
        with tracing.span("store", call="swap", key=key) as begun:
            swap = await self._store.swap(key, expected, value, lease)
            begun.set_attribute("won", swap.succeeded)
            return swap

    async def delete(self, key: str, expected: int) -> SwapResult:
        """Deletes the key if its revision is `expected`."""
        if not tracing.is_recording():
            return await self._store.delete(key, expected)
        with tracing.span("store", call="delete", key=key):
            return await self._store.delete(key, expected)

    async def grant_lease(self, ttl_ms: int) -> int:
        """Returns the id of a new lease."""
        return await self._store.grant_lease(ttl_ms)

    async def renew_lease(self, lease: int) -> int:
        """Renews a lease; returns its remaining ms, or 0 if it has ended."""
        return await self._store.renew_lease(lease)

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease; the keys under it are deleted."""
        await self._store.revoke_lease(lease)

    def watch(self, prefix: str, after: int) -> AsyncIterator[Change]:
        """Yields every change under `prefix` after the revision `after`."""
        return self._store.watch(prefix, after)

    async def close(self) -> None:
        """Closes the connections."""
        await self._store.close()
