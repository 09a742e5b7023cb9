"""Lets requests pass as endpoints allow in their responses.

It feeds the shared rate limits with what endpoints declare and other gateways
say, keeps the pauses that endpoints ask for, and waits for this gateway's turn.
"""

from collections.abc import Callable, Iterable

from rhubarbwinch.gateway import gatewaymetrics
from rhubarbwinch.gateway.decisions.warmups import Warmups
from rhubarbwinch.gateway.endpointpauses import EndpointPauses
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.messages import (
    EndpointLimit,
    FullNotice,
    RateLimitNotice,
)
from rhubarbwinch.gateway.peers import Peers
from rhubarbwinch.gateway.platforminterface import DeclaredState
from rhubarbwinch.gateway.ratelimits import LimitChange, RateLimits
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock


class Permits:
    """Permits requests to endpoints that limit them or have asked for time.

    Args:
        limits: Shares the limits among the gateways.
        warmups: Shares what cold endpoints accept among the gateways.
        peers: The other gateways.
        clock: The source of time.

    Attributes:
        warmups: Shares what cold endpoints accept among the gateways.
        cold_rate: Returns the requests a second that an endpoint accepts while
            it is cold; None if it is not.
    """

    def __init__(
        self, limits: RateLimits, warmups: Warmups, peers: Peers, clock: Clock
    ) -> None:
        self.warmups = warmups
        self.cold_rate: Callable[[str], float | None] = lambda endpoint_id: None
        self._limits = limits
        self._pauses = EndpointPauses()
        self._peers = peers
        self._clock = clock

    def is_limited(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint has declared a rate limit."""
        return self._limits.rate(endpoint_id) is not None

    def rate(self, endpoint_id: str) -> float | None:
        """Returns an endpoint's limit in requests a second, or None."""
        return self._limits.rate(endpoint_id)

    def senders(self, endpoint_id: str) -> list[str]:
        """Returns the gateways that may send to an endpoint."""
        senders = self._limits.senders(endpoint_id)
        cold_rate = self.cold_rate(endpoint_id)
        if cold_rate is None:
            return senders
        holders = self.warmups.holders(endpoint_id, cold_rate)
        return [name for name in senders if name in holders]

    def is_available(self, endpoint_id: str) -> bool:
        """Returns whether a request may be sent to an endpoint now."""
        return self._delay_ms(endpoint_id) == 0

    def _delay_ms(self, endpoint_id: str) -> int | None:
        """Returns after how long a request may be sent to an endpoint.

        Returns:
            None if other gateways share the endpoint's rate limit.
        """
        now = self._clock.now()
        limited_ms = self._limits.delay_ms(endpoint_id, now)
        cold_ms = self._cold_delay_ms(endpoint_id, now)
        if limited_ms is None or cold_ms is None:
            return None
        paused_ms = self._pauses.left_ms(endpoint_id, now)
        return max(limited_ms, cold_ms, paused_ms)

    def _cold_delay_ms(self, endpoint_id: str, now_ms: int) -> int | None:
        cold_rate = self.cold_rate(endpoint_id)
        if cold_rate is None:
            return 0
        return self.warmups.delay_ms(endpoint_id, cold_rate, now_ms)

    def earliest(
        self, endpoints: Iterable[Endpoint]
    ) -> tuple[Endpoint, int] | None:
        """Returns the endpoint that may be sent to first, after a delay.

        Returns:
            The endpoint, and the delay in milliseconds; None if no endpoint
            has a delay that ends.
        """
        delays = [
            (endpoint, delay_ms)
            for endpoint in endpoints
            if (delay_ms := self._delay_ms(endpoint.id))
        ]
        return min(delays, key=lambda found: found[1], default=None)

    def acquire_now(self, endpoint_id: str) -> None:
        """Counts a request that is sent now."""
        self._acquire(endpoint_id, 0)

    def _acquire(self, endpoint_id: str, delay_ms: int) -> None:
        now = self._clock.now()
        self._limits.acquire(endpoint_id, now)
        if self.cold_rate(endpoint_id) is not None:
            self.warmups.record_send(endpoint_id, now + delay_ms)
            gatewaymetrics.COLD_SENDS.labels(
                "waited" if delay_ms else "at once"
            ).inc()

    async def acquire(
        self, request_id: str, endpoint: Endpoint, limit_ms: int
    ) -> bool:
        """Waits until a request may be sent to an endpoint, and counts it.

        Args:
            request_id: The id of the request.
            endpoint: The endpoint.
            limit_ms: The longest time to wait.

        Returns:
            False, without a wait, if the wait would be longer or if only other
            gateways may send to the endpoint.
        """
        delay_ms = self._delay_ms(endpoint.id)
        if delay_ms is None or delay_ms > limit_ms:
            self._log_wait("refused", request_id, endpoint, delay_ms)
            return False
        self._acquire(endpoint.id, delay_ms)
        if delay_ms:
            self._log_wait("awaited", request_id, endpoint, delay_ms)
            await self._clock.sleep(delay_ms)
        return True

    def record_response(
        self, request_id: str, endpoint_id: str, declared: DeclaredState
    ) -> None:
        """Records what an endpoint declares in a response."""
        if declared.pause_ms and self._pauses.record(
            endpoint_id, declared.pause_ms, self._clock.now()
        ):
            events.PAUSE_DECLARED.log(
                request=request_id,
                endpoint=endpoint_id,
                pause_ms=declared.pause_ms,
                used_ms=self._pauses.left_ms(endpoint_id, self._clock.now()),
            )
        change = self._limits.record_response(
            endpoint_id, declared, self._clock.now()
        )
        if change is not None:
            self._report(change, "response", request_id)
            self._send_notices()

    def pause(self, endpoint_id: str, pause_ms: int) -> bool:
        """Sends nothing to an endpoint for a time.

        Returns:
            Whether the endpoint is paused for longer than it was.
        """
        return self._pauses.record(endpoint_id, pause_ms, self._clock.now())

    def handle_full_notice(self, notice: FullNotice) -> None:
        """Handles that a brittle endpoint has refused another gateway."""
        self.pause(notice.endpoint, notice.pause_ms)

    def handle_notice(self, notice: RateLimitNotice) -> None:
        """Handles what an endpoint has declared to another gateway."""
        change = self._limits.receive_notice(notice, self._clock.now())
        if change is not None:
            self._report(change, notice.gateway)

    def handle_listing(self, gateway: str, limits: list[EndpointLimit]) -> None:
        """Handles the limits that a peer lists as their coordinator."""
        for change in self._limits.receive_listing(
            gateway, limits, self._clock.now()
        ):
            self._report(change, gateway)

    def listing(self) -> list[EndpointLimit]:
        """Returns the limits that this gateway lists as their coordinator."""
        return self._limits.listing()

    def update(
        self, gateways: list[str], is_known: Callable[[str], bool]
    ) -> None:
        """Runs the periodic work.

        Args:
            gateways: The names of the gateways that are not leaving. Those that
                are leave limited endpoints to them.
            is_known: Returns whether this gateway knows an endpoint.
        """
        self._limits.set_gateways(gateways)
        self._limits.drop_outdated(is_known, self._clock.now())
        self._send_notices()

    def forget(self, endpoint_id: str) -> None:
        """Drops what an endpoint that is gone has declared."""
        self._limits.forget(endpoint_id)
        self._pauses.forget(endpoint_id)
        self.warmups.forget(endpoint_id)
        gatewaymetrics.RATE_LIMITED_ENDPOINTS.set(len(self._limits))

    def _send_notices(self) -> None:
        for coordinator, notice in self._limits.pop_notices(self._clock.now()):
            self._peers.send_to([coordinator], notice)

    def _report(
        self, change: LimitChange, source: str, request_id: str = ""
    ) -> None:
        gatewaymetrics.RATE_LIMITED_ENDPOINTS.set(len(self._limits))
        events.RATE_LIMIT_CHANGED.log(
            request=request_id,
            endpoint=change.endpoint,
            per_second=change.rate,
            before=change.before,
            source=source,
            delay_ms=self._limits.delay_ms(change.endpoint, self._clock.now()),
        )
        self._peers.announce()

    def _log_wait(
        self,
        outcome: str,
        request_id: str,
        endpoint: Endpoint,
        delay_ms: int | None,
    ) -> None:
        gatewaymetrics.PERMIT_WAITS.labels(outcome).inc()
        events.PERMIT_WAIT.log(
            request=request_id,
            endpoint=endpoint.id,
            outcome=outcome,
            delay_ms=delay_ms,
            per_second=self._limits.rate(endpoint.id),
        )
