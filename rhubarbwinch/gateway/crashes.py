"""Refuses requests that have crashed several endpoints.

Such a request crashes every endpoint that starts to run it, and its caller
retries it at any gateway. Requests that only shared an endpoint with it are
cleared when they succeed.
"""

import hashlib
from collections.abc import Awaitable, Callable

import anyio
import attrs

from rhubarbwinch.gateway.messages import CrashNotice
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock

# Number of endpoints that may crash before the request is refused.
MAX_CRASHES = 3
# A request that crashes endpoints is retried within seconds. A request that was
# suspected by chance may run again after this time.
SUSPECT_RETENTION_MS = 60_000
MAX_SUSPECTS = 2_000


def fingerprint(account: str | None, target: bytes, body: bytes) -> str:
    """Returns a digest that identifies a request when it is retried."""
    digest = hashlib.blake2b(digest_size=12)
    for part in ((account or "").encode(), target, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@attrs.define
class _Suspect:
    """The endpoints that crashed while serving a request."""

    endpoints: set[str] = attrs.field(factory=set)
    last_ms: int = 0


@attrs.frozen
class BrokenResponse:
    """A response that an endpoint broke off.

    Attributes:
        request_id: The caller's id of the request.
        fingerprint: The digest that identifies the request.
        endpoint: The endpoint's id.
        address: The endpoint's address.
        events: Number of events of the response that were received before.
        prompt_parts: The ids of the parts of the request's prompt.
    """

    request_id: str
    fingerprint: str
    endpoint: str
    address: str
    events: int = 0
    prompt_parts: tuple[str, ...] = ()


class CrashTracker:
    """Counts the endpoints that crashed while serving each request.

    Args:
        is_gone: Returns whether an endpoint address accepts no connections.
        clock: The source of time.
        broadcast: Broadcasts a crash to all gateways.
    """

    def __init__(
        self,
        is_gone: Callable[[str], Awaitable[bool]],
        clock: Clock,
        broadcast: Callable[[CrashNotice], None],
    ) -> None:
        self._is_gone = is_gone
        self._clock = clock
        self._broadcast = broadcast
        self._suspects: dict[str, _Suspect] = {}
        self._unchecked: list[BrokenResponse] = []
        self._has_unchecked = anyio.Event()

    def check_endpoint(self, broken: BrokenResponse) -> None:
        """Schedules a check whether the endpoint has crashed; does not wait."""
        self._unchecked.append(broken)
        self._has_unchecked.set()

    async def run(self) -> None:
        """Checks endpoints that broke off responses, until cancelled."""
        while True:
            await self._has_unchecked.wait()
            self._has_unchecked = anyio.Event()
            unchecked, self._unchecked = self._unchecked, []
            async with anyio.create_task_group() as tasks:
                for broken in unchecked:
                    tasks.start_soon(self._check, broken)

    def record_crash(self, request: str, endpoint: str, now_ms: int) -> int:
        """Records a crash; returns the request's number of crashes."""
        suspect = self._suspects.setdefault(request, _Suspect())
        if now_ms - suspect.last_ms > SUSPECT_RETENTION_MS:
            suspect.endpoints.clear()
        suspect.endpoints.add(endpoint)
        suspect.last_ms = now_ms
        suspects = self._suspects
        if len(suspects) > MAX_SUSPECTS:
            del suspects[min(suspects, key=lambda k: suspects[k].last_ms)]
        return len(suspect.endpoints)

    def clear(self, request: str) -> None:
        """Clears a request that has succeeded."""
        self._suspects.pop(request, None)

    def is_refused(self, request: str, now_ms: int) -> bool:
        """Returns whether a request is refused."""
        suspect = self._suspects.get(request)
        if suspect is None or now_ms - suspect.last_ms > SUSPECT_RETENTION_MS:
            return False
        return len(suspect.endpoints) >= MAX_CRASHES

    async def _check(self, broken: BrokenResponse) -> None:
        if not await self._is_gone(broken.address):
            return
        count = self.record_crash(
            broken.fingerprint, broken.endpoint, self._clock.now()
        )
        events.CRASHED_UNDER.log(
            request=broken.request_id,
            endpoint=broken.endpoint,
            fingerprint=broken.fingerprint,
            crashes=count,
            events=broken.events,
            parts=",".join(broken.prompt_parts),
        )
        self._broadcast(CrashNotice(broken.fingerprint, broken.endpoint))
