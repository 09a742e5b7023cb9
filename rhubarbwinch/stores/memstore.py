"""An in-memory store, for tests and for programs that embed this package."""

import copy
import itertools
from collections.abc import AsyncIterator

import anyio
import attrs

from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import StoreUnavailable, StoreUncertain
from rhubarbwinch.stores.store import Change, KeyValue, Listing, SwapResult


@attrs.define
class StoreFaults:
    """Faults to inject into the next calls.

    Attributes:
        down: Whether every call fails without effect.
        lost_responses: The number of following writes that take effect but
            raise an error, as if the response had been lost.
    """

    down: bool = False
    lost_responses: int = 0


@attrs.define
class _Lease:
    """A lease's expiry time and the keys under it."""

    ttl_ms: int
    expires_at: int
    keys: set[str] = attrs.field(factory=set)


@attrs.frozen
class StoreCopy:
    """The state of a store at some time."""

    revision: int
    entries: dict[str, KeyValue]
    leases: dict[int, _Lease]
    history: list[Change]


class MemoryStore:
    """A key-value store in the memory of this process.

    Args:
        clock: The source of time for the expiry of leases.
    """

    def __init__(self, clock: Clock) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        self._clock = clock
        self._revision = 0
        self._entries: dict[str, KeyValue] = {}
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(1)
        self._history: list[Change] = []
        self._changed = anyio.Event()

    @property
    def revision(self) -> int:
        """The revision of the last write."""
        return self._revision

    @property
    def changes(self) -> list[Change]:
        """Every change so far, in order."""
        return list(self._history)

    async def get(self, key: str) -> KeyValue | None:
        """Returns the entry of `key`, or None."""
        self._start_call()
        return self._entries.get(key)

    async def scan(self, prefix: str) -> Listing:
        """Returns all entries whose keys start with `prefix`, by key."""
        self._start_call()
        found = [
            self._entries[key]
            for key in sorted(self._entries)
            if key.startswith(prefix)
        ]
        return Listing(found, self._revision)

    async def swap(
        self, key: str, expected: int, value: bytes, lease: int = 0
    ) -> SwapResult:
        """Writes `value` if the key's revision is `expected` (0: no key)."""
        self._start_call()
        current = self._entries.get(key)
        if (current.revision if current else 0) != expected:
            return SwapResult(
                False, current.revision if current else 0, current
            )
        if lease and lease not in self._leases:
            raise StoreUnavailable(f"lease {lease} does not exist")
        self._revision += 1
        entry = KeyValue(key, value, self._revision)
        self._entries[key] = entry
        for other in self._leases.values():
            other.keys.discard(key)
        if lease:
            self._leases[lease].keys.add(key)
        self._append_change(Change(key, self._revision, entry))
        self._finish_write()
        return SwapResult(True, self._revision)

    async def delete(self, key: str, expected: int) -> SwapResult:
        """Deletes the key if its revision is `expected`."""
        self._start_call()
        current = self._entries.get(key)
        if current is None or current.revision != expected:
            return SwapResult(
                False, current.revision if current else 0, current
            )
        self._remove(key)
        self._finish_write()
        return SwapResult(True, self._revision)

    async def grant_lease(self, ttl_ms: int) -> int:
        """Returns the id of a new lease."""
        self._start_call()
        lease = next(self._lease_ids)
        self._leases[lease] = _Lease(ttl_ms, self._clock.now() + ttl_ms)
        self._finish_write()
        return lease

    async def renew_lease(self, lease: int) -> int:
        """Renews a lease; returns its remaining ms, or 0 if it has ended."""
        self._start_call()
        if lease not in self._leases:
            return 0
        lease_state = self._leases[lease]
        lease_state.expires_at = self._clock.now() + lease_state.ttl_ms
        return lease_state.ttl_ms

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease; the keys under it are deleted."""
        self._start_call()
        self._end_lease(lease)

    async def watch(self, prefix: str, after: int) -> AsyncIterator[Change]:
        """Yields every change under `prefix` after the revision `after`."""
        self._start_call()
        position = 0
        while True:
            changed = self._changed
            while position < len(self._history):
                change = self._history[position]
                position += 1
                if change.revision > after and change.key.startswith(prefix):
                    yield change
            await changed.wait()
            if self.faults.down:
                raise StoreUnavailable("the store is down")

    async def close(self) -> None:
        """Does nothing; there are no connections."""

    def make_copy(self) -> StoreCopy:
        """Returns a copy from which the store can be restored."""
        return StoreCopy(
            self._revision,
            dict(self._entries),
            copy.deepcopy(self._leases),
            list(self._history),
        )

    def restore(self, state: StoreCopy) -> None:
        """Replaces the state; later changes and leases are lost."""
        self._revision = state.revision
        self._entries = dict(state.entries)
        self._leases = copy.deepcopy(state.leases)
        self._history = list(state.history)
        self.notify_watches()

    def expire_leases(self) -> None:
        """Ends the expired leases; every call to the store does so as well."""
        now = self._clock.now()
        for lease in [
            k for k, v in self._leases.items() if v.expires_at <= now
        ]:
            self._end_lease(lease)

    def notify_watches(self) -> None:
        """Wakes the watches, so that they check for faults and changes."""
        self._changed.set()
        self._changed = anyio.Event()

    def _start_call(self) -> None:
        self.calls += 1
        if self.faults.down:
            raise StoreUnavailable("the store is down")
        self.expire_leases()

    def _finish_write(self) -> None:
        if self.faults.lost_responses > 0:
            self.faults.lost_responses -= 1
            raise StoreUncertain("the answer was lost")

    def _append_change(self, change: Change) -> None:
        self._history.append(change)
        self.notify_watches()

    def _remove(self, key: str) -> None:
        self._revision += 1
        del self._entries[key]
        self._append_change(Change(key, self._revision, None))

    def _end_lease(self, lease: int) -> None:
        lease_state = self._leases.pop(lease, None)
        for key in sorted(lease_state.keys) if lease_state else []:
            if key in self._entries:
                self._remove(key)
