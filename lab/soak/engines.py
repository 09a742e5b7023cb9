"""Soak engines that run requests, migrate KV caches and can fail."""

import random
import urllib.parse
from collections.abc import Iterator
from contextlib import contextmanager

import anyio
import attrs
import orjson

from lab.soak import records
from lab.soak.proxy import LoopbackProxy
from lab.soak.records import Journal, Run
from lab.standins.platformengine import (
    Arrival,
    ScriptedEngine,
    head_of,
    refuse,
)
from rhubarbwinch.gateway.edge import EdgeRequest, EdgeResponder
from rhubarbwinch.platform import headers
from rhubarbwinch.shared.clock import Clock

EVENT_MS = 25
CALL_MS = 40
# The time to copy the KV cache of a run to another engine.
MOVE_MS = 60
NOT_FOUND, BUSY, NO_ROOM = 404, 409, 503


@attrs.define
class Copy:
    """A copy of a run's KV cache at another engine.

    Attributes:
        engine: The address of the engine that holds it.
        made: The number of events that it covers.
        source: The address of the engine that executes the run.
    """

    engine: str
    made: int
    source: str


@attrs.define
class Work:
    """A run in progress at an engine.

    Attributes:
        run: The record of the run.
        made: The number of events generated so far.
        scope: Cancelled to stop the run.
        is_moving: Whether its KV cache is being copied.
        backup: The replicated copy at the hot standby, if there is one.
    """

    run: Run
    made: int
    scope: anyio.CancelScope
    is_moving: bool = False
    backup: Copy | None = None


@attrs.define
class Fabric:
    """State that the engines of a deployment share.

    Attributes:
        copies: All KV cache copies by handle. The handle of a copy at a hot
            standby is the id of the request.
        engines: The engines by the address that they register.
        journal: Runs are recorded here.
        clock: The source of time.
        rng: The random number generator.
    """

    copies: dict[str, Copy]
    engines: dict[str, "SoakEngine"]
    journal: Journal
    clock: Clock
    rng: random.Random


class SoakEngine(ScriptedEngine):
    """An engine behind a proxy; it registers the proxy's address.

    Args:
        name: The engine's id in the store.
        address: `a.b.c.d:port` to listen on.
        service: The service that it runs.
        proxy: The proxy through which it is reached.
        fabric: The state that it shares with the other engines.
    """

    def __init__(
        self,
        name: str,
        address: str,
        service: str,
        proxy: LoopbackProxy,
        fabric: Fabric,
    ) -> None:
        super().__init__(name, address, service)
        self.address = proxy.address
        self.proxy = proxy
        self.behaviour = self._serve
        self.failing = 0.0
        self.slots = 24
        self._fabric = fabric
        self._work: dict[str, Work] = {}
        fabric.engines[self.address] = self

    def crash(self) -> None:
        """Drops all runs and copies and refuses connections."""
        self.proxy.condition.is_refusing = True
        self.proxy.reset()
        self.forget()

    def forget(self) -> None:
        """Ends all runs and drops the copies that this engine holds."""
        for work in list(self._work.values()):
            work.scope.cancel()
        copies = self._fabric.copies
        for handle in [
            h for h, c in copies.items() if c.engine == self.address
        ]:
            del copies[handle]

    async def _handle(
        self, request: EdgeRequest, responder: EdgeResponder
    ) -> None:
        if request.target == b"/report":
            body = orjson.dumps({"state": "ready", "leaves_ms": None})
            await responder.send(200, [], body)
            return
        await super()._handle(request, responder)

    async def _serve(self, arrival: Arrival, responder: EdgeResponder) -> None:
        first = self._first_event(arrival)
        full = len(self._work) >= self.slots or arrival.id in self._work
        if first is None or full:
            await refuse(arrival, responder)
            return
        with self._working(arrival, first) as work:
            if work.run.kind == records.Kind.DRAFT.value:
                await self._stream(arrival, responder, work)
            else:
                await self._answer(arrival, responder)

    def _first_event(self, arrival: Arrival) -> int | None:
        """Returns a run's first event; None if this engine lacks its copy."""
        source = arrival.headers.get(headers.RESUME_FROM.decode())
        if source is None:
            return 1
        handle = source.partition("/")[2]
        copy = self._fabric.copies.get(handle)
        if copy is None or copy.engine != self.address:
            return None
        # A copy can be used only once.
        del self._fabric.copies[handle]
        return int(arrival.headers.get(headers.LAST_EVENT.decode(), "0")) + 1

    @contextmanager
    def _working(self, arrival: Arrival, first: int) -> Iterator[Work]:
        names = arrival.headers
        run = Run(
            id=arrival.id,
            kind=arrival.request.target.decode().split("/")[1],
            engine=self.name,
            account=names.get(headers.ACCOUNT.decode(), ""),
            body=arrival.request.body,
            has_key=headers.AUTHORIZATION.decode() in names,
            is_resumed=headers.RESUME_FROM.decode() in names,
            first_event=first,
            started_ms=self._fabric.clock.now(),
        )
        self._fabric.journal.runs.append(run)
        work = Work(run, first - 1, anyio.CancelScope())
        self._work[run.id] = work
        address = names.get(headers.BACKUP.decode())
        if address in self._fabric.engines:
            work.backup = Copy(str(address), 0, self.address)
            self._fabric.copies[run.id] = work.backup
        try:
            with work.scope:
                yield work
        finally:
            run.ended_ms = self._fabric.clock.now()
            self._work.pop(run.id, None)

    async def _answer(self, arrival: Arrival, responder: EdgeResponder) -> None:
        await self._fabric.clock.sleep(CALL_MS)
        self._note_reach(arrival.id)
        if self._fabric.rng.random() < self.failing:
            await responder.send(500, head_of(arrival), b"failed")
            return
        body = records.whole_answer(arrival.id, arrival.request.body)
        await responder.send(200, head_of(arrival), body)

    async def _stream(
        self, arrival: Arrival, responder: EdgeResponder, work: Work
    ) -> None:
        total = int(arrival.request.body or b"1")
        kind = (b"Content-Type", b"text/event-stream")
        await responder.start_stream(200, [*head_of(arrival), kind])
        while work.made < total:
            await self._fabric.clock.sleep(EVENT_MS)
            self._note_reach(arrival.id)
            work.made += 1
            if work.backup is not None:
                work.backup.made = work.made
            await responder.write(records.event(arrival.id, work.made))
        self._fabric.copies.pop(arrival.id, None)
        await responder.end_stream()

    def _note_reach(self, request_id: str) -> None:
        if not self.proxy.is_sound and request_id in self._work:
            self._work[request_id].run.is_cut_off = True

    def _free(self, handle: str) -> int:
        name = urllib.parse.unquote(handle)
        copy = self._fabric.copies.get(name)
        if copy is None or self.address not in (copy.source, copy.engine):
            return NOT_FOUND
        del self._fabric.copies[name]
        return 200

    async def _move(
        self, request: EdgeRequest, responder: EdgeResponder
    ) -> None:
        body = orjson.loads(request.body)
        status, answer = await self._copy(
            body["id"], body["to"], bool(body.get("last"))
        )
        await responder.send(status, [], orjson.dumps(answer))

    async def _copy(
        self, request_id: str, to: str, is_last: bool
    ) -> tuple[int, dict[str, object]]:
        work = self._work.get(request_id)
        if work is None:
            return NOT_FOUND, {}
        if work.is_moving:
            return BUSY, {}
        other = self._fabric.engines.get(to)
        if other is None or other.proxy.condition.is_refusing:
            return NO_ROOM, {}
        work.is_moving = True
        try:
            if is_last:
                work.scope.cancel()
            await self._fabric.clock.sleep(MOVE_MS)
        finally:
            work.is_moving = False
        handle = f"h-{request_id}-{to}"
        self._fabric.copies[handle] = Copy(to, work.made, self.address)
        return 200, {"handle": handle, "created": work.made}
