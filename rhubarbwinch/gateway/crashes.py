"""Finds out which endpoints crashed, and tells the other gateways.

What a crash says of the request and of the parts of its prompt is decided by
`crashsuspects`.
"""

import hashlib
from collections.abc import Awaitable, Callable, Iterable

import anyio
import attrs

from rhubarbwinch.gateway import gatewaymetrics
from rhubarbwinch.gateway.crashsuspects import Crash, CrashSuspects
from rhubarbwinch.gateway.messages import CrashNotice, HarmlessNotice
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock

# A run with this many events has begun without crashing its endpoint.
HARMLESS_EVENTS = 2


def fingerprint(account: str | None, target: bytes, body: bytes) -> str:
    """Returns a digest that identifies a request when it is retried."""
    digest = hashlib.blake2b(digest_size=12)
    for part in ((account or "").encode(), target, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@attrs.frozen
class BrokenResponse:
    """A response that an endpoint broke off.

    Attributes:
        request_id: The caller's id of the request.
        address: The endpoint's address.
        crash: The crash of which this may be the consequence.
        events: Number of events of the response that were received before.
    """

    request_id: str
    address: str
    crash: Crash
    events: int


class CrashTracker:
    """Records the crashes of endpoints that all gateways notice.

    Args:
        suspects: Decides what is refused.
        is_gone: Returns whether an endpoint address accepts no connections.
        clock: The source of time.
        broadcast: Broadcasts a notice to all gateways.
        is_reached_elsewhere: Returns whether another gateway reaches an
            address; None if none replies.
    """

    def __init__(
        self,
        suspects: CrashSuspects,
        is_gone: Callable[[str], Awaitable[bool]],
        clock: Clock,
        broadcast: Callable[[CrashNotice | HarmlessNotice], None],
        is_reached_elsewhere: Callable[[str], Awaitable[bool | None]],
    ) -> None:
        self._suspects = suspects
        self._is_gone = is_gone
        self._clock = clock
        self._broadcast = broadcast
        self._is_reached_elsewhere = is_reached_elsewhere
        self._unchecked: list[BrokenResponse] = []
        self._has_unchecked = anyio.Event()

    def check_endpoint(self, broken: BrokenResponse) -> None:
        """Schedules a check whether the endpoint has crashed; does not wait."""
        self._unchecked.append(broken)
        self._has_unchecked.set()

    async def run(self) -> None:
        """Checks endpoints that broke off responses, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._has_unchecked.wait()
                self._has_unchecked = anyio.Event()
                unchecked, self._unchecked = self._unchecked, []
                by_address: dict[str, list[BrokenResponse]] = {}
                for broken in unchecked:
                    by_address.setdefault(broken.address, []).append(broken)
                for address, responses in by_address.items():
                    tasks.start_soon(self._check, address, responses)

    def find_refused(self, keys: Iterable[str]) -> str | None:
        """Returns the first of the keys that is refused, or None."""
        return self._suspects.find_refused(keys, self._clock.now())

    def record_send(self, request_id: str, keys: Iterable[str]) -> None:
        """Records that a request is sent, which may try a suspect."""
        for key in self._suspects.record_trial(keys, self._clock.now()):
            events.SUSPECT_TRIED.log(request=request_id, suspect=key)

    def record_harmless(self, request_id: str, keys: Iterable[str]) -> None:
        """Records that an endpoint has answered a request and is alive."""
        now = self._clock.now()
        cleared = [key for key in keys if self._suspects.clear(key, now)]
        if cleared:
            events.SUSPECTS_CLEARED.log(request=request_id, suspects=cleared)
            self._broadcast(HarmlessNotice(cleared))
            self._update_metrics()

    def handle_crash_notice(self, notice: CrashNotice) -> None:
        """Handles a crash that another gateway has noticed."""
        now = self._clock.now()
        self._record(
            Crash(
                (notice.endpoint, notice.started_ms),
                notice.request,
                tuple(notice.parts),
                now - notice.sent_ago_ms,
                now - notice.ago_ms,
            )
        )

    def handle_harmless_notice(self, notice: HarmlessNotice) -> None:
        """Handles that another gateway has found suspects harmless."""
        harmless_ms = self._clock.now() - notice.ago_ms
        for key in notice.keys:
            self._suspects.clear(key, harmless_ms)
        self._update_metrics()

    def listing(self) -> list[str]:
        """Returns the refused suspects, for the other gateways."""
        return self._suspects.refused_keys()

    def handle_listing(self, gateway: str, keys: list[str]) -> None:
        """Handles the suspects that another gateway refuses."""
        now = self._clock.now()
        for key in keys:
            if self._suspects.adopt(key, now):
                events.SUSPECT_REFUSED.log(suspect=key, told_by=gateway)
                self._update_metrics()
                continue
            harmless_ms = self._suspects.harmless_ms(key, now)
            if harmless_ms is not None:
                # The other gateway has missed the notice.
                self._broadcast(HarmlessNotice([key], now - harmless_ms))

    async def _check(
        self, address: str, responses: list[BrokenResponse]
    ) -> None:
        if not await self._is_gone(address):
            return
        if await self._is_reached_elsewhere(address):
            # This gateway is cut off, and the endpoint is alive.
            events.ENDPOINT_ALIVE.log(address=address, responses=len(responses))
            return
        for broken in responses:
            crash = broken.crash
            endpoint, started_ms = crash.endpoint
            now = self._clock.now()
            self._record(crash)
            events.CRASHED_UNDER.log(
                request=broken.request_id,
                endpoint=endpoint,
                suspect=crash.request,
                crashes=self._suspects.crash_count(crash.request),
                events=broken.events,
                parts={
                    key: self._suspects.crash_count(key) for key in crash.parts
                },
            )
            self._broadcast(
                CrashNotice(
                    crash.request,
                    endpoint,
                    started_ms,
                    list(crash.parts),
                    now - crash.sent_ms,
                    now - crash.at_ms,
                )
            )

    def _record(self, crash: Crash) -> None:
        for key in self._suspects.record_crash(crash, self._clock.now()):
            events.SUSPECT_REFUSED.log(
                suspect=key, crashes=self._suspects.crash_count(key)
            )
        self._update_metrics()

    def _update_metrics(self) -> None:
        gatewaymetrics.REFUSED_SUSPECTS.set(len(self._suspects.refused_keys()))
