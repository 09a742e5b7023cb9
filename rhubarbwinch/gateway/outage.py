"""What a gateway does while the store can't tell which engines leave.

It answers outages in which engines go on leaving: their notices do not reach
the store. Each engine is asked by one gateway, which tells the others. After
the outage those are asked whose entries have lapsed: some of them leave.
"""

from collections.abc import Callable

import anyio

from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.wire import EngineCalls
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import EndpointError

# Longer than the usual time between two answers of the store, when nothing is
# known to fail, and when a gateway's call has failed.
STALE_MS = 1_700
STALE_AND_FAILING_MS = 750
# Engines report with a lag of some hundred milliseconds and leave two seconds
# after they know; asking costs the engine a little.
ASK_MS = 300
CHECK_MS = 200


class OutageWatch:
    """Asks engines whether they leave while the store can't tell.

    Args:
        clock: The source of time.
        calls: Calls engines.
        stale_ms: Returns how old the newest answer of the store is.
        is_failing: Tells whether the store fails any gateway's calls.
        engines: Returns the engines that this gateway asks in an outage.
        lapsed: Returns those of them whose entries have lapsed.
        on_leaving: Takes an engine that leaves.
    """

    def __init__(
        self,
        clock: Clock,
        calls: EngineCalls,
        stale_ms: Callable[[], int],
        is_failing: Callable[[], bool],
        engines: Callable[[], list[Endpoint]],
        lapsed: Callable[[], list[Endpoint]],
        on_leaving: Callable[[Endpoint], None],
    ) -> None:
        self._clock = clock
        self._calls = calls
        self._stale_ms = stale_ms
        self._is_failing = is_failing
        self._engines = engines
        self._lapsed = lapsed
        self._on_leaving = on_leaving
        self._is_outage = False

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            stale_ms = self._stale_ms()
            limit = STALE_AND_FAILING_MS if self._is_failing() else STALE_MS
            is_outage = stale_ms > limit
            if is_outage != self._is_outage:
                self._is_outage = is_outage
                events.OUTAGE_CHANGED.log(outage=is_outage, stale_ms=stale_ms)
            doubtful = self._engines() if is_outage else self._lapsed()
            async with anyio.create_task_group() as tasks:
                for endpoint in doubtful:
                    tasks.start_soon(self._ask, endpoint)
            await self._clock.sleep(ASK_MS if doubtful else CHECK_MS)

    async def _ask(self, endpoint: Endpoint) -> None:
        try:
            report = await self._calls.report(endpoint.address)
        except EndpointError as error:
            events.REPORT_MISSED.log(endpoint=endpoint.id, error=str(error))
            return
        if report.is_leaving or report.leaves_ms is not None:
            self._on_leaving(endpoint)
