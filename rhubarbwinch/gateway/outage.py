"""Polls engines for shutdown notices while the store is unavailable.

During a store outage the notices of leaving engines do not reach the store.
Each engine is polled by one gateway, which broadcasts a notice to the others.
After the outage, engines whose entries have expired are polled, since some of
them are leaving.
"""

from collections.abc import Callable

import anyio

from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.platforminterface import EngineCalls
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import EndpointError

# The store counts as unavailable if its newest response is older than this: the
# first bound holds if no call has failed, the second if a gateway's call has
# failed. Both exceed the usual time between two responses.
STALE_MS = 1_700
STALE_AND_FAILING_MS = 750
# An engine's report lags by some hundred milliseconds, and the engine shuts
# down two seconds after its notice. Polling puts a small load on the engine.
POLL_INTERVAL_MS = 300
CHECK_INTERVAL_MS = 200


class OutageMonitor:
    """Detects store outages and polls engines for shutdown notices.

    Args:
        clock: The source of time.
        calls: Calls engines.
        stale_ms: Returns the age of the newest response from the store.
        is_failing: Returns whether the store fails the calls of all watchers.
        engines: Returns the engines that this gateway polls in an outage.
        expired: Returns those of the engines whose entries have expired.
        on_leaving: Called with an engine that leaves.
    """

    def __init__(
        self,
        clock: Clock,
        calls: EngineCalls,
        stale_ms: Callable[[], int],
        is_failing: Callable[[], bool],
        engines: Callable[[], list[Endpoint]],
        expired: Callable[[], list[Endpoint]],
        on_leaving: Callable[[Endpoint], None],
    ) -> None:
        self._clock = clock
        self._calls = calls
        self._stale_ms = stale_ms
        self._is_failing = is_failing
        self._engines = engines
        self._expired = expired
        self._on_leaving = on_leaving
        self._is_outage = False

    async def run(self) -> None:
        """Checks for outages and polls engines until cancelled."""
        while True:
            stale_ms = self._stale_ms()
            limit = STALE_AND_FAILING_MS if self._is_failing() else STALE_MS
            is_outage = stale_ms > limit
            if is_outage != self._is_outage:
                self._is_outage = is_outage
                events.OUTAGE_CHANGED.log(outage=is_outage, stale_ms=stale_ms)
            polled = self._engines() if is_outage else self._expired()
            async with anyio.create_task_group() as tasks:
                for endpoint in polled:
                    tasks.start_soon(self._poll, endpoint)
            await self._clock.sleep(
                POLL_INTERVAL_MS if polled else CHECK_INTERVAL_MS
            )

    async def _poll(self, endpoint: Endpoint) -> None:
        try:
            report = await self._calls.report(endpoint.address)
        except EndpointError as error:
            events.REPORT_MISSED.log(endpoint=endpoint.id, error=str(error))
            return
        if report.is_leaving or report.leaves_ms is not None:
            self._on_leaving(endpoint)
