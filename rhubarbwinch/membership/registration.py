"""Registers this member in the store under a lease and reads the others."""

import anyio

from rhubarbwinch.membership.members import Member, MemberNews, Members
from rhubarbwinch.shared import codec, events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import CodecError, StoreError
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.store import Store

READERS_PER_DATA_CENTER = 2
SCAN_INTERVAL_MS = 30_000


class Registration:
    """Keeps this process's registration alive and reads the others.

    Every member reads all registrations when it starts and after an outage.
    Later only a few elected members of each data centre read them, which
    reconnects groups of members that have lost sight of each other. The other
    members receive updates from their peers.

    Args:
        store: The platform's store.
        members: The cluster view that is kept up to date.
        clock: The source of time.
        lease_ms: The lifetime of the lease without renewal.
    """

    def __init__(
        self, store: Store, members: Members, clock: Clock, lease_ms: int
    ) -> None:
        self._store = store
        self._members = members
        self._clock = clock
        self._lease_ms = lease_ms
        self._lease = 0
        self._written_member: Member | None = None
        self._is_store_available = True
        self._scanned_at: int | None = None
        self._renewal_requested = anyio.Event()

    async def run(self) -> None:
        """Renews the registration until cancelled."""
        while True:
            await self.step()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._wait_for_renewal_time, tasks.cancel_scope
                )
                await self._renewal_requested.wait()
                tasks.cancel_scope.cancel()
            self._renewal_requested = anyio.Event()

    def renew_now(self) -> None:
        """Renews the registration now, to write a change of state."""
        self._renewal_requested.set()

    async def step(self) -> None:
        """Renews once; a store outage leaves the cluster view unchanged."""
        try:
            await self._register()
            if self._is_scan_due():
                await self._scan_members()
        except StoreError as error:
            if self._is_store_available:
                events.STORE_DOWN.log(error=str(error))
            self._is_store_available = False
            # Registrations made during the outage have been missed, so the
            # list is read again after it.
            self._scanned_at = None
            return
        if not self._is_store_available:
            events.STORE_UP.log()
        self._is_store_available = True

    async def holds_lease(self, name: str) -> bool:
        """Returns whether a member's registration is under a valid lease.

        Returns False for every member while the store is unavailable.
        """
        try:
            return await self._store.get(keys.member(name)) is not None
        except StoreError:
            return False

    async def close(self) -> None:
        """Revokes the lease, which deletes the registration."""
        if self._lease:
            await self._store.revoke_lease(self._lease)

    async def _wait_for_renewal_time(self, scope: anyio.CancelScope) -> None:
        await self._clock.sleep(self._lease_ms // 3)
        scope.cancel()

    async def _register(self) -> None:
        if not self._lease or not await self._store.renew_lease(self._lease):
            self._lease = await self._store.grant_lease(self._lease_ms)
            self._written_member = None
        me = self._members.me
        if self._written_member == me:
            return
        key = keys.member(me.name)
        current = await self._store.get(key)
        expected = current.revision if current else 0
        value = codec.encode(me)
        swap = await self._store.swap(key, expected, value, self._lease)
        self._written_member = me if swap.succeeded else None

    def _is_scan_due(self) -> bool:
        if self._scanned_at is None:
            return True
        if self._clock.now() - self._scanned_at < SCAN_INTERVAL_MS:
            return False
        me = self._members.me
        return me.name in self._members.elected(
            "members", me.data_center, READERS_PER_DATA_CENTER
        )

    async def _scan_members(self) -> None:
        listing = await self._store.scan(keys.MEMBERS)
        self._scanned_at = self._clock.now()
        for entry in listing.entries:
            try:
                member = codec.decode(entry.value, Member)
            except CodecError as error:
                events.PEER_REFUSED.log(error=str(error))
                continue
            self._members.merge(MemberNews(member))
