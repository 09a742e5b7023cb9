"""Keeps a gateway registered in the store, so that others can reach it."""

from collections.abc import Callable

from rhubarbwinch.gateway.messages import PeerAddress
from rhubarbwinch.shared import codec, events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import StoreError
from rhubarbwinch.stores.store import Store

# Peers detect a dead gateway by its heartbeats, so the lease may be long. It
# only bounds how long the address of a dead gateway stays in the store.
LEASE_MS = 9_000
RENEW_MS = 3_000
# A restored store lacks the gateways that have registered since the copy.
ERA_CHECK_MS = 250
# In an outage of the store each gateway retries, and each call is billed. Peers
# know each other by heartbeats, so a late registration does no harm.
RETRY_MS = 500
MAX_RETRY_MS = 4_000


class GatewayRegistration:
    """Keeps the key of this gateway under a lease.

    Args:
        store: The platform's store.
        clock: The source of time.
        key: The key of this gateway.
        address: The addresses for other gateways, the key's value.
        era: Returns the era of the store, which rises when it is restored.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        key: str,
        address: PeerAddress,
        era: Callable[[], int],
    ) -> None:
        self._store = store
        self._clock = clock
        self._key = key
        self._address = address
        self._era = era
        self._lease = 0
        self._lease_era = 0

    async def run(self) -> None:
        """Renews the registration until cancelled."""
        retry_ms = RETRY_MS
        while True:
            try:
                await self._renew()
                retry_ms = RETRY_MS
                await self._sleep_in_era(RENEW_MS)
            except StoreError as error:
                if retry_ms == RETRY_MS:
                    events.REGISTRATION_FAILED.log(error=str(error))
                await self._clock.sleep(retry_ms)
                retry_ms = min(MAX_RETRY_MS, 2 * retry_ms)

    async def close(self) -> None:
        """Revokes the lease; if the store is unavailable, the lease expires."""
        if not self._lease:
            return
        try:
            await self._store.revoke_lease(self._lease)
        except StoreError as error:
            events.REGISTRATION_FAILED.log(error=str(error))

    async def _sleep_in_era(self, duration_ms: int) -> None:
        """Sleeps for a time, or until the store was restored."""
        end = self._clock.now() + duration_ms
        while self._clock.now() < end:
            # At the start the era is not known yet.
            self._lease_era = self._lease_era or self._era()
            if self._era() != self._lease_era:
                return
            await self._clock.sleep(min(ERA_CHECK_MS, end - self._clock.now()))

    async def _renew(self) -> None:
        era = self._era()
        if era != self._lease_era:
            # After a restore another gateway may have been given this lease.
            self._lease = 0
        if self._lease and await self._store.renew_lease(self._lease):
            return
        self._lease = 0
        self._lease_era = era
        self._lease = await self._store.grant_lease(LEASE_MS)
        entry = await self._store.get(self._key)
        expected = entry.revision if entry is not None else 0
        value = codec.encode(self._address)
        swap = await self._store.swap(self._key, expected, value, self._lease)
        if not swap.succeeded:
            # The lease of the previous start has just expired and changed the
            # key. The next iteration writes the key again.
            self._lease = 0
