"""Soak callers that keep connections, retry, and sometimes disconnect."""

import itertools
import random
from collections.abc import Callable

import anyio
import httpx

from lab.soak.proxy import LoopbackProxy
from lab.soak.records import Attempt, Journal, Kind
from rhubarbwinch.platform import headers
from rhubarbwinch.shared.clock import Clock

HOST = "h.example"
DEADLINE_MS = 5_000
LOOKUP_S = 1.0
# A response of the directory is cached for this time.
LOOKUP_MS = 2_000
# A gateway that gave no response is avoided for this time.
AVOID_MS = 500
MAX_ATTEMPTS = 3
PAUSE_S = 0.05
# A caller that disconnects early does so within this time.
PATIENCE_S = 0.8
LEAVE_SHARE = 0.08
STRANGER_SHARE = 0.02
MAX_EVENTS = 140
MAX_BODY = 3_000
STRANGER_KEY = "key-of-nobody"
PROMISES = frozenset({408, 421, 429, 503})
_KINDS = (Kind.CALL, Kind.CALL, Kind.ONCE, Kind.DRAFT)


class Callers:
    """State that all callers of a run share.

    Args:
        fronts: The proxies in front of the gateways, by gateway address.
        directories: The addresses of the gateways' directories.
        keys: Returns the active API keys by client account.
        journal: Attempts are recorded here.
        clock: The source of time.
    """

    def __init__(
        self,
        fronts: dict[str, LoopbackProxy],
        directories: list[str],
        keys: Callable[[], dict[str, str]],
        journal: Journal,
        clock: Clock,
    ) -> None:
        self.directories = directories
        self.keys = keys
        self.journal = journal
        self.clock = clock
        self._fronts = fronts
        self._numbers = itertools.count(1)

    def next_number(self) -> int:
        """Returns a number for the id of an attempt."""
        return next(self._numbers)

    def reach(self, address: str) -> tuple[int, str]:
        """Returns the number of a gateway and the address of its proxy."""
        number = list(self._fronts).index(address)
        return number, self._fronts[address].address


class Caller:
    """A caller that sends requests one after another.

    Args:
        shared: The state that all callers share.
        rng: The random number generator.
    """

    def __init__(self, shared: Callers, rng: random.Random) -> None:
        self._shared = shared
        self._rng = rng
        self._client = httpx.AsyncClient(timeout=DEADLINE_MS / 1000 + 3)
        self._addresses: list[str] = []
        self._known_until = 0
        self._avoided: dict[str, int] = {}
        self.is_stopping = False

    async def run(self) -> None:
        """Sends requests until `is_stopping` is set."""
        async with self._client:
            while not self.is_stopping:
                await self._request()
                await anyio.sleep(self._rng.random() * PAUSE_S)

    async def _request(self) -> None:
        kind = self._rng.choice(_KINDS)
        for _ in range(MAX_ATTEMPTS):
            address = await self._choose()
            if address is None:
                await anyio.sleep(PAUSE_S)
                continue
            attempt = await self._attempt(kind, address)
            if not attempt.status:
                self._avoided[address] = self._shared.clock.now() + AVOID_MS
            if attempt.has_left or not self._may_retry(attempt):
                return

    def _may_retry(self, attempt: Attempt) -> bool:
        if attempt.status in PROMISES:
            return True
        if attempt.kind is not Kind.CALL:
            return False
        return attempt.status == 0 or attempt.status >= 500

    async def _choose(self) -> str | None:
        now = self._shared.clock.now()
        if now >= self._known_until:
            await self._look_up()
        found = [
            a for a in self._addresses if self._avoided.get(a, 0) <= now
        ] or self._addresses
        return self._rng.choice(found) if found else None

    async def _look_up(self) -> None:
        directories = self._shared.directories
        for directory in self._rng.sample(directories, len(directories)):
            try:
                answer = await self._client.get(
                    f"http://{directory}/resolve?name={HOST}", timeout=LOOKUP_S
                )
            except httpx.TransportError:
                continue
            if answer.status_code == httpx.codes.OK:
                self._addresses = answer.json()["addresses"]
                now = self._shared.clock.now()
                self._known_until = now + LOOKUP_MS
                return

    async def _attempt(self, kind: Kind, address: str) -> Attempt:
        """Sends a request and records its outcome."""
        clock = self._shared.clock
        number, reached = self._shared.reach(address)
        account, key = self._rng.choice(sorted(self._shared.keys().items()))
        is_allowed = self._rng.random() >= STRANGER_SHARE
        body = b"x" * self._rng.randrange(1, MAX_BODY)
        if kind is Kind.DRAFT:
            body = b"%d" % self._rng.randrange(1, MAX_EVENTS)
        attempt = Attempt(
            id=f"q{self._shared.next_number()}",
            kind=kind,
            account=account,
            is_allowed=is_allowed,
            gateway=number,
            body=body,
            sent_ms=clock.now(),
        )
        self._shared.journal.attempts.append(attempt)
        leaves = self._rng.random() < LEAVE_SHARE
        patience = self._rng.random() * PATIENCE_S if leaves else None
        with anyio.move_on_after(patience) as scope:
            await self._send(attempt, reached, key if is_allowed else "")
        attempt.has_left = scope.cancelled_caught
        attempt.ended_ms = clock.now()
        return attempt

    async def _send(self, attempt: Attempt, reached: str, key: str) -> None:
        names = {
            "Host": HOST,
            "Authorization": f"Bearer {key or STRANGER_KEY}",
            headers.REQUEST_ID.decode(): attempt.id,
            headers.DEADLINE.decode(): str(DEADLINE_MS),
            headers.SIZES.decode(): f"100,{MAX_EVENTS}",
        }
        url = f"http://{reached}/{attempt.kind.value}/work"
        try:
            async with self._client.stream(
                "POST", url, content=attempt.body, headers=names
            ) as answer:
                attempt.status = answer.status_code
                signature = headers.SIGNATURE.decode()
                attempt.is_signed = signature in answer.headers
                async for data in answer.aiter_raw():
                    attempt.answer += data
                attempt.is_complete = True
        except httpx.TransportError:
            # The record keeps what was received and stays incomplete.
            return
