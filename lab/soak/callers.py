"""Soak callers that keep connections, retry, and sometimes disconnect."""

import itertools
import random
import re
from collections.abc import Callable

import anyio
import httpx

from lab.soak.proxy import LoopbackProxy
from lab.soak.records import FATAL_PART, Attempt, RequestKind, RunRecords
from rhubarbwinch.platform import headers
from rhubarbwinch.shared.clock import Clock

HOST = "h.example"
DEADLINE_MS = 5_000
LOOKUP_TIMEOUT_S = 1.0
# A response of the directory is cached for this time.
LOOKUP_TTL_MS = 2_000
# A gateway that gave no response is avoided for this time.
AVOID_MS = 500
MAX_ATTEMPTS = 3
PAUSE_S = 0.05
# A caller that disconnects early does so within this time.
MAX_DISCONNECT_S = 0.8
DISCONNECT_SHARE = 0.08
INVALID_KEY_SHARE = 0.02
# The share of streams with a part that crashes engines, while there is one.
FATAL_SHARE = 0.1
MAX_EVENTS = 140
MAX_BODY_BYTES = 3_000
INVALID_KEY = "key-of-nobody"
OK = 200
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_KINDS = (
    RequestKind.CALL,
    RequestKind.CALL,
    RequestKind.ONCE,
    RequestKind.DRAFT,
    RequestKind.RESUMABLE,
)
_EVENT_ID = re.compile(rb"^id: (\d+)\n.*?\n\n", re.DOTALL | re.MULTILINE)


def last_event(attempt: Attempt) -> int:
    """Returns the last whole event of a stream, with its earlier attempts."""
    if not attempt.kind.is_stream or attempt.status != OK:
        return attempt.last_event
    numbers = _EVENT_ID.findall(attempt.response)
    return int(numbers[-1]) if numbers else attempt.last_event


class CallerContext:
    """State that all callers of a run share.

    Args:
        fronts: The proxies in front of the gateways, by gateway address.
        directories: The addresses of the gateways' directories.
        keys: Returns the active API keys by client account.
        sends_fatal_part: Returns whether some prompts have the part under which
            engines crash.
        records: Attempts are recorded here.
        clock: The source of time.
    """

    def __init__(
        self,
        fronts: dict[str, LoopbackProxy],
        directories: list[str],
        keys: Callable[[], dict[str, str]],
        sends_fatal_part: Callable[[], bool],
        records: RunRecords,
        clock: Clock,
    ) -> None:
        self.directories = directories
        self.keys = keys
        self.sends_fatal_part = sends_fatal_part
        self.records = records
        self.clock = clock
        self._fronts = fronts
        self._numbers = itertools.count(1)

    def next_number(self) -> int:
        """Returns a number for the id of an attempt."""
        return next(self._numbers)

    def find_gateway(self, address: str) -> tuple[int, str]:
        """Returns the number of a gateway and the address of its proxy."""
        number = list(self._fronts).index(address)
        return number, self._fronts[address].address


class Caller:
    """A caller that sends requests one after another.

    Args:
        context: The state that all callers share.
        rng: The random number generator.
    """

    def __init__(self, context: CallerContext, rng: random.Random) -> None:
        self._context = context
        self._rng = rng
        self._client = httpx.AsyncClient(timeout=DEADLINE_MS / 1000 + 3)
        self._addresses: list[str] = []
        self._lookup_expires_ms = 0
        self._avoided_until: dict[str, int] = {}
        self.is_stopping = False

    async def run(self) -> None:
        """Sends requests until `is_stopping` is set."""
        async with self._client:
            while not self.is_stopping:
                await self._request()
                await anyio.sleep(self._rng.random() * PAUSE_S)

    async def _request(self) -> None:
        kind = self._rng.choice(_KINDS)
        broken: Attempt | None = None
        for _ in range(MAX_ATTEMPTS):
            address = await self._choose_gateway()
            if address is None:
                await anyio.sleep(PAUSE_S)
                continue
            attempt = await self._attempt(kind, address, broken)
            if not attempt.status:
                self._avoided_until[address] = (
                    self._context.clock.now() + AVOID_MS
                )
            if attempt.has_disconnected or not self._may_retry(attempt):
                return
            if last_event(attempt):
                broken = attempt

    def _may_retry(self, attempt: Attempt) -> bool:
        if attempt.status in NOT_RUN_STATUSES:
            return True
        if attempt.kind is RequestKind.RESUMABLE and attempt.status == OK:
            return not attempt.is_complete
        if attempt.kind not in (RequestKind.CALL, RequestKind.RESUMABLE):
            return False
        return attempt.status == 0 or attempt.status >= 500

    async def _choose_gateway(self) -> str | None:
        now = self._context.clock.now()
        if now >= self._lookup_expires_ms:
            await self._resolve_gateways()
        available = [
            a for a in self._addresses if self._avoided_until.get(a, 0) <= now
        ] or self._addresses
        return self._rng.choice(available) if available else None

    async def _resolve_gateways(self) -> None:
        directories = self._context.directories
        for directory in self._rng.sample(directories, len(directories)):
            try:
                response = await self._client.get(
                    f"http://{directory}/resolve?name={HOST}",
                    timeout=LOOKUP_TIMEOUT_S,
                )
            except httpx.TransportError:
                continue
            if response.status_code == httpx.codes.OK:
                self._addresses = response.json()["addresses"]
                now = self._context.clock.now()
                self._lookup_expires_ms = now + LOOKUP_TTL_MS
                return

    async def _attempt(
        self, kind: RequestKind, address: str, broken: Attempt | None
    ) -> Attempt:
        """Sends a request and records its outcome.

        Args:
            kind: The kind of the request.
            address: The address of a gateway.
            broken: The attempt whose stream is taken up again, or None.
        """
        clock = self._context.clock
        number, proxy_address = self._context.find_gateway(address)
        account, key = self._rng.choice(sorted(self._context.keys().items()))
        is_allowed = self._rng.random() >= INVALID_KEY_SHARE
        body = b"x" * self._rng.randrange(1, MAX_BODY_BYTES)
        if kind.is_stream:
            body = b"%d" % self._rng.randrange(1, MAX_EVENTS)
        if broken is not None:
            account, body = broken.account, broken.body
            key = self._context.keys()[account]
        attempt = Attempt(
            id=f"q{self._context.next_number()}",
            kind=kind,
            account=account,
            is_allowed=is_allowed,
            gateway=number,
            body=body,
            sent_ms=clock.now(),
        )
        attempt.stream = broken.stream if broken else attempt.id
        attempt.last_event = last_event(broken) if broken else 0
        self._context.records.attempts.append(attempt)
        disconnects = self._rng.random() < DISCONNECT_SHARE
        disconnect_after_s = (
            self._rng.random() * MAX_DISCONNECT_S if disconnects else None
        )
        with anyio.move_on_after(disconnect_after_s) as scope:
            await self._send(attempt, proxy_address, key if is_allowed else "")
        attempt.has_disconnected = scope.cancelled_caught
        attempt.ended_ms = clock.now()
        return attempt

    def _prompt(self, attempt: Attempt) -> str:
        """Returns the parts of a prompt; the last one is the request's own."""
        parts = [f"{ord(attempt.account):x}:60"]
        is_fatal = self._rng.random() < FATAL_SHARE
        if is_fatal and self._context.sends_fatal_part():
            parts.append(f"{FATAL_PART}:20")
        return ",".join([*parts, f"{self._context.next_number():x}ff:20"])

    async def _send(
        self, attempt: Attempt, proxy_address: str, key: str
    ) -> None:
        fields = {
            "Host": HOST,
            "Authorization": f"Bearer {key or INVALID_KEY}",
            headers.REQUEST_ID.decode(): attempt.id,
            headers.DEADLINE.decode(): str(DEADLINE_MS),
            headers.TOKEN_COUNTS.decode(): f"100,{MAX_EVENTS}",
        }
        if attempt.kind.is_stream:
            fields[headers.PROMPT_PARTS.decode()] = self._prompt(attempt)
        if attempt.last_event:
            fields[headers.RESUMED_ID.decode()] = attempt.stream
            fields[headers.LAST_EVENT_ID.decode()] = str(attempt.last_event)
        url = f"http://{proxy_address}/{attempt.kind.value}/work"
        try:
            async with self._client.stream(
                "POST", url, content=attempt.body, headers=fields
            ) as response:
                attempt.status = response.status_code
                signature = headers.SIGNATURE.decode()
                attempt.is_signed = signature in response.headers
                async for data in response.aiter_raw():
                    attempt.response += data
                attempt.is_complete = True
        except httpx.TransportError:
            # The record keeps what was received and stays incomplete.
            return
