"""Runs entries with claims in one process, with injectable faults."""

import contextlib
import random
import uuid

import anyio
import httpx
import orjson
from result import Err, Ok

from rhubarbwinch.admission.permits import Permit
from rhubarbwinch.callers.plain import PlainServiceProxy
from rhubarbwinch.claims.audit import Period, list_calls
from rhubarbwinch.claims.claimowners import OwnerStatus
from rhubarbwinch.claims.claimpages import ClaimPages
from rhubarbwinch.claims.claimretention import ClaimFloor
from rhubarbwinch.claims.claims import Claims
from rhubarbwinch.endpoints.metering import METER_PERIOD_MS
from rhubarbwinch.http.httpapi import Refused, Request, Responder
from rhubarbwinch.links.messages import ClaimQuestion, PermitGrant
from rhubarbwinch.records.acceptedconfig import make_snapshot
from rhubarbwinch.shared import identifiers
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.exceptions import (
    EndpointError,
    StoreUnavailable,
    StoreUncertain,
)
from rhubarbwinch.shared.verdict import Reason, not_run
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.memstore import MemoryStore
from tests import builders

STEP_MS = 200


def uuid7(time_ms, number=0):
    """Returns a UUIDv7 with a time, and a number as its random part."""
    value = time_ms << 80 | 0x7 << 76 | 0b10 << 62 | number
    return str(uuid.UUID(int=value))


class Gate:
    """Stops an entry at a named point, as SIGSTOP or SIGKILL would."""

    def __init__(self):
        self.stop_at = None
        self.closed = False
        self.dead = False
        self.cut = ""
        self._wake = anyio.Event()

    async def reach(self, point):
        """Returns at once, or blocks at the point to stop at until woken."""
        if point == self.stop_at:
            self.closed = True
            self.stop_at = None
        while self.closed:
            await self._wake.wait()
        if self.dead:
            raise StoreUnavailable("the process is dead")

    def wake(self):
        """Resumes the entry, as SIGCONT would."""
        self.closed = False
        self._wake.set()
        self._wake = anyio.Event()

    def end(self):
        """Makes all blocked operations fail, at the end of a test."""
        self.dead = True
        self.wake()


class GatedStore:
    """One entry's connection to the store, with points to stop at."""

    def __init__(self, store, gate):
        self._store = store
        self._gate = gate

    async def get(self, key):
        await self._gate.reach("before read")
        if self._gate.cut:
            raise StoreUnavailable("no connection")
        found = await self._store.get(key)
        await self._gate.reach("after read")
        return found

    async def swap(self, key, expected, value, lease=0):
        await self._gate.reach("before write")
        if self._gate.cut == "both ways":
            raise StoreUnavailable("no connection")
        swap = await self._store.swap(key, expected, value, lease)
        if self._gate.cut == "answers":
            raise StoreUncertain("the connection broke")
        await self._gate.reach("after write")
        return swap


class CountingEndpoint:
    """An endpoint that records the calls it runs."""

    def __init__(self):
        self.ran = []
        self.refuses = 0
        self.dies = False
        self.delay_ms = 0
        self.body = None


class GatedEndpoints:
    """One entry's client of the endpoint, with points to stop at."""

    def __init__(self, endpoint, gate, clock):
        self._endpoint = endpoint
        self._gate = gate
        self._clock = clock

    async def call(self, method, url, body, headers):
        await self._gate.reach("before send")
        if self._endpoint.refuses:
            self._endpoint.refuses -= 1
            raise EndpointError("connection refused", sent=False)
        self._endpoint.ran.append(f"{method} /{url.split('/', 3)[3]}")
        if self._endpoint.dies:
            raise EndpointError("the connection broke", sent=True)
        if self._endpoint.delay_ms:
            await self._clock.sleep(self._endpoint.delay_ms)
        await self._gate.reach("after run")
        data = self._endpoint.body or {"number": len(self._endpoint.ran)}
        return httpx.Response(200, json=data)


class Permits:
    """A permit client that grants or refuses every request."""

    def __init__(self):
        self.failure = None
        self.held = 0

    async def acquire_from_any(self, request, pools, new_id):
        if self.failure is not None:
            return Err(self.failure)
        if not pools:
            return Err(not_run(Reason.NO_ENDPOINT, "no pool"))
        self.held += 1
        grant = PermitGrant(new_id(), "desk", "127.0.0.1:1")
        return Ok(Permit(request, grant))

    async def release_permit(self, permit, end, tokens=0):
        self.held -= 1


class Entry:
    """An entry with claims and a caller of plain services."""

    def __init__(self, world, name, incarnation):
        self.name = name
        self.incarnation = incarnation
        self.listed = True
        self.gate = Gate()
        self.permits = Permits()
        store = GatedStore(world.store, self.gate)
        self.pages = ClaimPages(store, world.clock, 1000)
        self.claims = Claims(
            self.pages,
            ClaimOwners(world),
            ClaimFloor(store, world.clock),
            world.clock,
            random.Random(incarnation),
            name,
            incarnation,
        )
        self.proxy = PlainServiceProxy(
            self.permits,
            GatedEndpoints(world.counting_endpoint, self.gate, world.clock),
            self.claims,
            identifiers.IdGenerator(incarnation, "secret"),
            name,
            "dc-a",
        )


class ClaimOwners:
    """Asks the other entries directly."""

    def __init__(self, world):
        self._world = world

    async def get_status(self, record):
        for entry in self._world.entries:
            if entry.incarnation == record.incarnation and entry.listed:
                if entry.gate.closed:
                    return OwnerStatus.MAY_SEND
                question = ClaimQuestion(record.token, record.incarnation)
                reply = await entry.claims.reply(question)
                return (
                    OwnerStatus.UNSENT if reply.unsent else OwnerStatus.MAY_SEND
                )
        return OwnerStatus.NOT_A_MEMBER


class Answer:
    """The response to a caller's request."""

    def __init__(self):
        self.text = None
        self.scope = anyio.CancelScope()

    async def send(self, message):
        """Receives the ASGI messages of the response."""
        if message["type"] == "http.response.start":
            names = dict(message["headers"])
            is_replay = b"idempotency-replayed" in names
            self._head = f"{message['status']}{' recorded' * is_replay}"
        else:
            self.text = f"{self._head} {message['body'].decode()}"


class World(contextlib.AbstractAsyncContextManager):
    """A store, an endpoint and entries with a common manual clock."""

    def __init__(self, entries=2):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.counting_endpoint = CountingEndpoint()
        self.entries = [
            Entry(self, f"entry-{i}", 100 + i) for i in range(entries)
        ]
        items = [
            builders.account(services=("booking", "ledger")),
            builders.plain_service(not_repeatable=["POST /book"]),
            builders.plain_service("empty", "nowhere"),
            builders.plain_service(
                "ledger",
                not_repeatable=["POST /book"],
                retention_ms=90 * 24 * 3_600_000,
            ),
            builders.pool("bookings", [builders.endpoint("desk")]),
        ]
        self.snapshot = make_snapshot(1, items)
        self.lines = []

    async def __aenter__(self):
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        for entry in self.entries:
            self._tasks.start_soon(entry.pages.run)
            self._tasks.start_soon(entry.claims.run)
        await anyio.wait_all_tasks_blocked()
        return self

    async def __aexit__(self, *error):
        for entry in self.entries:
            entry.gate.end()
        self._tasks.cancel_scope.cancel()
        return await self._tasks.__aexit__(*error)

    def key(self, number=0, age_ms=0):
        """Returns an idempotency key with the current time."""
        return uuid7(self.clock.wall() - age_ms, number)

    def start(self, entry, key=None, path="/services/booking/book", body=b"{}"):
        """Starts a call at an entry."""
        headers = {} if key is None else {"idempotency-key": key}
        request = Request("POST", path, "", headers, body)
        answer = Answer()

        async def run():
            with answer.scope:
                try:
                    await self.entries[entry].proxy.serve(
                        "acme", request, self.snapshot, Responder(answer.send)
                    )
                except Refused as refused:
                    failure = refused.failure
                    answer.text = f"{failure.verdict} {failure.reason}"
                except StoreUnavailable:
                    # Raised only by entries that `Gate.end` stops at the end
                    # of a test.
                    answer.text = "nothing"

        self._tasks.start_soon(run)
        return answer

    async def settle(self, *answers, limit_ms=10_000):
        """Advances the clock until all responses have arrived."""
        await anyio.wait_all_tasks_blocked()
        for _ in range(limit_ms // STEP_MS):
            if all(answer.text is not None for answer in answers):
                return
            await self.clock.advance(STEP_MS)
        raise AssertionError("no response in time")

    async def call(self, entry, key=None, **fields):
        """Makes a call and returns the text of its response."""
        answer = self.start(entry, key, **fields)
        await self.settle(answer)
        return answer.text

    async def stop(self, entry, point, key, **fields):
        """Starts a call and waits until its entry stops at a point."""
        self.entries[entry].gate.stop_at = point
        answer = self.start(entry, key, **fields)
        for _ in range(20):
            await anyio.wait_all_tasks_blocked()
            if self.entries[entry].gate.closed:
                return answer
            await self.clock.advance(STEP_MS)
        raise AssertionError(f"{point!r} was not reached")

    def note(self, text):
        """Appends a line to the golden text."""
        self.lines.append(text)

    async def judge(self):
        """Appends the endpoint's runs, the stored claims and the audit.

        Raises:
            AssertionError: The audit contradicts the endpoint's runs.
        """
        self.note(f"endpoint ran {len(self.counting_endpoint.ran)}")
        self.store.faults.down = False
        states = []
        for page in (await self.store.scan(keys.CLAIMS)).entries:
            states += await claim_states(page)
        self.note(f"store has {', '.join(sorted(states)) or 'no claim'}")
        hour = METER_PERIOD_MS
        start = self.clock.wall() // hour * hour
        period = Period(start - 25 * hour, start + 2 * hour)
        calls = await list_calls(self.store, period)
        certain = sum(call.ran == "yes" for call in calls)
        self.note(
            f"audit lists {certain} that ran, {len(calls) - certain} unknown"
        )
        if not certain <= len(self.counting_endpoint.ran) <= len(calls):
            raise AssertionError("the audit contradicts the endpoint's runs")

    def text(self):
        """Returns the golden text."""
        return "\n".join(self.lines) + "\n"


async def claim_states(page):
    """Returns the states of the claims in a page."""
    from rhubarbwinch.claims.claimpages import Page
    from rhubarbwinch.shared import codec

    claims = codec.decode(page.value, Page).claims
    return [record.state.value for record in claims.values()]


def number_of(text):
    """Returns the call's number at the endpoint from a response's text."""
    return orjson.loads(text.split(" ", 1)[1])["number"]
