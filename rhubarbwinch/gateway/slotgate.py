"""Holds plain calls back until a slot of a brittle endpoint is free."""

from collections import deque

import anyio

from rhubarbwinch.gateway import gatewaymetrics
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.loads import LoadTracker
from rhubarbwinch.gateway.slotshares import SlotShares
from rhubarbwinch.shared.clock import Clock


class SlotGate:
    """Lets as many calls pass as this gateway has slots.

    Args:
        shares: The shares of this gateway.
        loads: The open calls of this gateway.
        clock: The source of time.
    """

    def __init__(
        self, shares: SlotShares, loads: LoadTracker, clock: Clock
    ) -> None:
        self.shares = shares
        self._loads = loads
        self._clock = clock
        self._waiters: dict[str, deque[anyio.Event]] = {}

    def is_brittle(self, service: str) -> bool:
        """Returns whether the endpoints of a service are brittle."""
        return self.shares.is_brittle(service, self._clock.now())

    def has_free_slot(self, endpoint: Endpoint) -> bool:
        """Returns whether a call may be sent to an endpoint now."""
        if not self.is_brittle(endpoint.service):
            return True
        open_calls = self._loads.own_plain_calls(endpoint.id)
        return open_calls < self.shares.share(endpoint)

    async def wait(self, service: str, limit_ms: int) -> bool:
        """Waits until a call of this gateway to a service has ended.

        Args:
            service: The service.
            limit_ms: The longest time to wait.

        Returns:
            False if none has ended in time.
        """
        waiters = self._waiters.setdefault(service, deque())
        waiter = anyio.Event()
        waiters.append(waiter)
        gatewaymetrics.SLOT_WAITS.inc()
        try:
            with anyio.move_on_after(limit_ms / 1000):
                await waiter.wait()
        except anyio.get_cancelled_exc_class():
            if waiter.is_set():
                # The next one gets the slot of a caller that leaves.
                self.handle_call_ended(service)
            raise
        finally:
            if not waiter.is_set():
                waiters.remove(waiter)
        return waiter.is_set()

    def handle_call_ended(self, service: str) -> None:
        """Wakes the call that has waited longest."""
        waiters = self._waiters.get(service)
        if waiters:
            waiters.popleft().set()
