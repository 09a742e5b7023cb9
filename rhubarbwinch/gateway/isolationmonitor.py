"""Probes endpoints when connections to some of them fail."""

from collections.abc import Awaitable, Callable, Iterable

import anyio

from rhubarbwinch.gateway import gatewaymetrics
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.isolation import Isolation
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock

# The time between probes of a service. A gateway that is cut off goes on with
# them, to find out when it is connected again.
PROBE_INTERVAL_MS = 300
# Endpoints of which other gateways are asked whether they reach them.
MAX_ASKED = 3


class IsolationMonitor:
    """Finds out whether endpoints are down or this gateway is cut off.

    Args:
        isolation: Judges the outcomes.
        clock: The source of time.
        endpoints: Returns the endpoints of a service that accept requests.
        is_unreachable: Returns whether an address accepts no connections.
        is_reached_elsewhere: Returns whether another gateway reaches an
            address; None if none replies.
        on_change: Called when the gateway is cut off or connected again.
    """

    def __init__(
        self,
        isolation: Isolation,
        clock: Clock,
        endpoints: Callable[[str], list[Endpoint]],
        is_unreachable: Callable[[str], Awaitable[bool]],
        is_reached_elsewhere: Callable[[str], Awaitable[bool | None]],
        on_change: Callable[[], None],
    ) -> None:
        self._isolation = isolation
        self._clock = clock
        self._endpoints = endpoints
        self._is_unreachable = is_unreachable
        self._is_reached_elsewhere = is_reached_elsewhere
        self._on_change = on_change
        self._silent: dict[str, set[str]] = {}
        self._triggered: set[str] = set()
        self._wakeup = anyio.Event()

    def record_unreachable(self, service: str, endpoint: str) -> None:
        """Handles a connection to an endpoint that could not be made."""
        self._isolation.record_failure(service, endpoint, self._clock.now())
        self._trigger(service)

    def record_connected(self, service: str) -> None:
        """Handles a new connection to an endpoint."""
        if self._isolation.record_connection(service):
            self._on_change()
            self._report(service, False, None)

    def check_endpoint(self, endpoint: Endpoint) -> None:
        """Schedules a probe of an endpoint that gives no response."""
        self._silent.setdefault(endpoint.service, set()).add(endpoint.id)
        self._trigger(endpoint.service)

    async def run(self) -> None:
        """Probes endpoints until cancelled."""
        while True:
            if not self._isolation.services:
                await self._wakeup.wait()
            self._wakeup = anyio.Event()
            triggered, self._triggered = self._triggered, set()
            for service in triggered | set(self._isolation.services):
                await self._probe(service)
            await self._clock.sleep(PROBE_INTERVAL_MS)

    def _trigger(self, service: str) -> None:
        if not self._isolation.is_isolated(service):
            self._triggered.add(service)
            self._wakeup.set()

    async def _probe(self, service: str) -> None:
        """Probes endpoints of a service until it is clear what fails."""
        known = {e.id: e for e in self._endpoints(service)}
        was_isolated = self._isolation.is_isolated(service)
        probes = self._silent.pop(service, set()) & known.keys()
        probes.update(self._next_probes(service, known))
        while probes:
            endpoints = [known[name] for name in sorted(probes)]
            if await self._connect_to_any(service, endpoints):
                self.record_connected(service)
                return
            if was_isolated:
                return
            probes = set(self._next_probes(service, known))
        if not was_isolated and self._isolation.is_suspected(
            service, list(known), self._clock.now()
        ):
            self._isolation.mark_isolated(service)
            self._on_change()
            reached = await self._ask_peers(list(known.values()))
            self._report(service, True, reached)

    def _next_probes(self, service: str, known: Iterable[str]) -> list[str]:
        return self._isolation.next_probes(
            service, sorted(known), self._clock.now()
        )

    async def _connect_to_any(
        self, service: str, endpoints: list[Endpoint]
    ) -> bool:
        """Tries to connect to endpoints; returns whether one accepts."""
        reached: list[str] = []

        async def probe(endpoint: Endpoint) -> None:
            if not await self._is_unreachable(endpoint.address):
                reached.append(endpoint.id)
                return
            self._isolation.record_failure(
                service, endpoint.id, self._clock.now()
            )

        async with anyio.create_task_group() as tasks:
            for endpoint in endpoints:
                tasks.start_soon(probe, endpoint)
        return bool(reached)

    async def _ask_peers(self, endpoints: list[Endpoint]) -> bool | None:
        """Asks other gateways whether they reach any of the endpoints."""
        reached: bool | None = None
        for endpoint in endpoints[:MAX_ASKED]:
            reached = await self._is_reached_elsewhere(endpoint.address)
            if reached is not False:
                break
        return reached

    def _report(
        self, service: str, is_isolated: bool, reached: bool | None
    ) -> None:
        events.ISOLATION_CHANGED.log(
            service=service, isolated=is_isolated, reached_elsewhere=reached
        )
        gatewaymetrics.ISOLATED_SERVICES.set(len(self._isolation.services))
