"""Requests under which endpoints crash, and when they are refused.

It answers a request that ends each endpoint that begins to run it, and that its
caller sends again, to any gateway. Requests that only shared an endpoint with
it clear themselves by succeeding.
"""

import hashlib
from collections.abc import Awaitable, Callable

import anyio
import attrs

from rhubarbwinch.gateway.messages import CrashNotice
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock

# Endpoints that may crash under a request before it is refused.
MAX_CRASHES = 3
# A request that crashes endpoints comes again within seconds; one that was
# unlucky may run again after this time.
KEEP_MS = 60_000
MAX_SUSPECTS = 2_000


def fingerprint(account: str | None, target: bytes, body: bytes) -> str:
    """Returns what a request is recognised by when it comes again."""
    digest = hashlib.blake2b(digest_size=12)
    for part in ((account or "").encode(), target, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@attrs.define
class _Suspect:
    """The endpoints that crashed under a request."""

    endpoints: set[str] = attrs.field(factory=set)
    last_ms: int = 0


@attrs.frozen
class Break:
    """An answer that an endpoint broke off.

    Attributes:
        request_id: The caller's id of the request.
        fingerprint: What the request is recognised by.
        endpoint: The endpoint's id.
        address: The endpoint's address.
    """

    request_id: str
    fingerprint: str
    endpoint: str
    address: str


class CrashLedger:
    """Counts the endpoints that crashed under each request.

    Args:
        is_gone: Tells whether an endpoint at an address accepts no connection.
        clock: The source of time.
        tell: Tells all gateways of a crash.
    """

    def __init__(
        self,
        is_gone: Callable[[str], Awaitable[bool]],
        clock: Clock,
        tell: Callable[[CrashNotice], None],
    ) -> None:
        self._is_gone = is_gone
        self._clock = clock
        self._tell = tell
        self._suspects: dict[str, _Suspect] = {}
        self._breaks: list[Break] = []
        self._has_breaks = anyio.Event()

    def suspect(self, found: Break) -> None:
        """Has it found out whether the endpoint is gone; nobody waits."""
        self._breaks.append(found)
        self._has_breaks.set()

    async def run(self) -> None:
        """Looks after endpoints that broke off answers, until cancelled."""
        while True:
            await self._has_breaks.wait()
            self._has_breaks = anyio.Event()
            breaks, self._breaks = self._breaks, []
            async with anyio.create_task_group() as tasks:
                for found in breaks:
                    tasks.start_soon(self._look, found)

    def note(self, request: str, endpoint: str, now_ms: int) -> int:
        """Notes a crash; returns how many the request has to its name."""
        suspect = self._suspects.setdefault(request, _Suspect())
        if now_ms - suspect.last_ms > KEEP_MS:
            suspect.endpoints.clear()
        suspect.endpoints.add(endpoint)
        suspect.last_ms = now_ms
        suspects = self._suspects
        if len(suspects) > MAX_SUSPECTS:
            del suspects[min(suspects, key=lambda k: suspects[k].last_ms)]
        return len(suspect.endpoints)

    def clear(self, request: str) -> None:
        """Notes that a request has succeeded."""
        self._suspects.pop(request, None)

    def is_refused(self, request: str, now_ms: int) -> bool:
        """Tells whether a request is refused."""
        suspect = self._suspects.get(request)
        if suspect is None or now_ms - suspect.last_ms > KEEP_MS:
            return False
        return len(suspect.endpoints) >= MAX_CRASHES

    async def _look(self, found: Break) -> None:
        if not await self._is_gone(found.address):
            return
        count = self.note(found.fingerprint, found.endpoint, self._clock.now())
        events.CRASHED_UNDER.log(
            request=found.request_id,
            endpoint=found.endpoint,
            fingerprint=found.fingerprint,
            crashes=count,
        )
        self._tell(CrashNotice(found.fingerprint, found.endpoint))
