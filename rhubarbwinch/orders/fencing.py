"""Ensures one holder for each pool's orders by a lease and a fencing number.

The holder's key is stored under the holder's lease. The fence record is
stored without a lease; each new holder raises its number by compare-and-swap.
A holder measures its lease by its own clock, starting before the renewal was
sent, so it stops sending no later than the lease expires in the store.
"""

import enum

import attrs

from rhubarbwinch.shared import codec, events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import StoreError
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.store import Store

# The most that two clocks may drift apart during the lifetime of a lease.
CLOCK_DRIFT_MARGIN_MS = 200


class HoldState(enum.StrEnum):
    """Whether this process may send a pool's orders."""

    NONE = "none"
    WAITING = "waiting"
    HELD = "held"


@attrs.frozen
class FenceRecord:
    """The last holder of a pool's orders, with its fencing number.

    Attributes:
        number: The fencing number, raised by each new holder.
        holder: The holder's member name.
        incarnation: The holder's incarnation.
        lease_ms: The lifetime of the holder's lease.
        flight_ms: The longest time from sending an order to its effect.
        released: Whether the holder released the pool with no order in
            flight.
    """

    number: int
    holder: str
    incarnation: int
    lease_ms: int
    flight_ms: int
    released: bool = False


@attrs.frozen
class HolderRecord:
    """The content of the holder's key.

    Attributes:
        holder: The holder's member name.
        incarnation: The holder's incarnation.
        lease: The lease under which the key is stored. A key under a former
            lease of the same process is deleted when that lease expires, so it
            does not count as held.
    """

    holder: str
    incarnation: int
    lease: int


@attrs.define
class Hold:
    """This process's exclusive right to send a pool's orders.

    Attributes:
        pool: The pool's name.
        number: The fencing number that orders carry.
        ready_at: The time from which no order of the former holder can take
            effect any more, by this process's clock.
    """

    pool: str
    number: int
    ready_at: int


class Fencing:
    """Acquires and releases pools; all pools are held under one lease.

    Args:
        store: The platform's store.
        clock: The source of time.
        name: This member's name.
        incarnation: This process's incarnation.
        lease_ms: The lifetime of the lease without renewal.
        flight_ms: The longest time from sending an order to its effect.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        name: str,
        incarnation: int,
        lease_ms: int,
        flight_ms: int,
    ) -> None:
        self._store = store
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        self._lease_ms = lease_ms
        self._flight_ms = flight_ms
        self._lease = 0
        self._lease_valid_until = 0
        self._holds: dict[str, Hold] = {}
        self._unsettled: set[str] = set()

    @property
    def held(self) -> list[str]:
        """The pools that this process holds or waits for."""
        return sorted(self._holds)

    @property
    def ms_left(self) -> int:
        """The milliseconds left of the lease, by this process's clock."""
        return max(
            0,
            self._lease_valid_until - self._clock.now() - CLOCK_DRIFT_MARGIN_MS,
        )

    def state(self, pool: str) -> HoldState:
        """Returns whether orders for a pool may be sent."""
        hold = self._holds.get(pool)
        if hold is None:
            return HoldState.NONE
        if self._clock.now() < hold.ready_at:
            return HoldState.WAITING
        return HoldState.HELD

    def fence_to_send(self, pool: str) -> int | None:
        """Returns the fencing number if an order may be sent now, else None.

        The lease must outlast the longest flight of an order. Call this
        method directly before the send, without an `await` in between, and
        call `mark_settled` when the endpoint has responded.
        """
        if self.ms_left <= self._flight_ms:
            return None
        if self.state(pool) is not HoldState.HELD:
            return None
        self._unsettled.add(pool)
        return self._holds[pool].number

    def mark_settled(self, pool: str) -> None:
        """Records that no order to the pool is in flight any more."""
        self._unsettled.discard(pool)

    async def renew(self) -> None:
        """Renews the lease; if it has expired, drops all pools.

        Raises:
            StoreError: The store failed; the lease stays valid until it
                expires.
        """
        started_at = self._clock.now()
        if self._lease and started_at < self._lease_valid_until:
            left = await self._store.renew_lease(self._lease)
            if left:
                self._lease_valid_until = started_at + min(left, self._lease_ms)
                return
        self._drop_all()
        self._lease = await self._store.grant_lease(self._lease_ms)
        self._lease_valid_until = started_at + self._lease_ms

    async def acquire(self, pool: str) -> bool:
        """Tries to become a pool's holder; returns whether it is the holder.

        Raises:
            StoreError: The store failed; the next attempt finds out whether
                the pool was acquired.
        """
        if pool in self._holds:
            return True
        key = keys.order_holder(pool)
        own_value = codec.encode(
            HolderRecord(self._name, self._incarnation, self._lease)
        )
        current = await self._store.get(key)
        if current is None:
            swap = await self._store.swap(key, 0, own_value, self._lease)
            if not swap.succeeded:
                return False
        elif current.value != own_value:
            return False
        # If the reply to an earlier swap was lost, the key is this process's
        # own, and the pool counts as acquired.
        return await self._raise_fence(pool)

    async def release(self, pool: str) -> None:
        """Releases a pool so that another member can acquire it.

        If an order may be in flight, the next holder waits as after an expired
        lease.

        Raises:
            StoreError: The store failed; the pool stays held until the lease
                expires.
        """
        hold = self._holds.pop(pool, None)
        if hold is None:
            return
        fence = await self._store.get(keys.order_fence(pool))
        if fence is not None:
            record = codec.decode(fence.value, FenceRecord)
            is_settled = pool not in self._unsettled
            if record.number == hold.number and is_settled:
                released = attrs.evolve(record, released=True)
                await self._store.swap(
                    fence.key, fence.revision, codec.encode(released)
                )
        holder = await self._store.get(keys.order_holder(pool))
        if holder is not None:
            await self._store.delete(holder.key, holder.revision)

    async def _raise_fence(self, pool: str) -> bool:
        key = keys.order_fence(pool)
        current = await self._store.get(key)
        old = codec.decode(current.value, FenceRecord) if current else None
        number = old.number + 1 if old else 1
        new = FenceRecord(
            number,
            self._name,
            self._incarnation,
            self._lease_ms,
            self._flight_ms,
        )
        expected = current.revision if current else 0
        swap = await self._store.swap(key, expected, codec.encode(new))
        if not swap.succeeded:
            return False
        ready_at = self._clock.now()
        if old is not None and not old.released:
            # The former holder may go on sending until its lease ends by its
            # own clock, and its last order may take effect `flight_ms` later,
            # even if the lease has expired in the store already.
            ready_at += old.lease_ms + old.flight_ms + CLOCK_DRIFT_MARGIN_MS
        self._holds[pool] = Hold(pool, number, ready_at)
        events.ORDERS_TAKEN.log(pool=pool, fence=number)
        return True

    def _drop_all(self) -> None:
        for pool in self._holds:
            events.ORDERS_LOST.log(pool=pool)
        self._holds.clear()
        self._lease_valid_until = 0

    async def close(self) -> None:
        """Releases all pools; if the store fails, the lease expires instead."""
        try:
            for pool in self.held:
                await self.release(pool)
            if self._lease:
                await self._store.revoke_lease(self._lease)
        except StoreError as error:
            events.STORE_DOWN.log(error=str(error))
