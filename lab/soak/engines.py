"""Soak engines that run requests, migrate KV caches and can fail."""

import random
import urllib.parse
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import attrs
import orjson

from lab.soak import records
from lab.soak.proxy import LoopbackProxy
from lab.soak.records import (
    Arrival,
    Copy,
    Declaration,
    LeavingResponse,
    PauseResponse,
    RequestKind,
    Run,
    RunRecords,
)
from lab.standins.platformengine import (
    LEAVING,
    ReceivedRequest,
    ScriptedEngine,
    cold_headers,
    engine_headers,
    rate_limit_headers,
    send_not_run,
    send_pause,
)
from rhubarbwinch.gateway.edge import EdgeRequest, EdgeResponder
from rhubarbwinch.gateway.platforminterface import Headers
from rhubarbwinch.platform import headers
from rhubarbwinch.shared.clock import Clock

SLOTS = 24
EVENT_INTERVAL_MS = 25
CALL_DURATION_MS = 40
# The time to copy the KV cache of a run to another engine.
MIGRATION_MS = 60
NOT_FOUND, BUSY, NO_ROOM = 404, 409, 503


@attrs.define
class KvCacheCopy:
    """A copy of a run's KV cache at another engine.

    Attributes:
        engine: The address of the engine that holds it.
        event_count: The number of events that it covers.
        source: The address of the engine that executes the run.
    """

    engine: str
    event_count: int
    source: str


@attrs.define
class ActiveRun:
    """A run in progress at an engine.

    Attributes:
        run: The record of the run.
        event_count: The number of events generated so far.
        scope: Cancelled to stop the run.
        is_migrating: Whether its KV cache is being copied.
        standby_copy: The replicated copy at the hot standby, if there is one.
    """

    run: Run
    event_count: int
    scope: anyio.CancelScope
    is_migrating: bool = False
    standby_copy: KvCacheCopy | None = None


@attrs.define
class EngineContext:
    """State that the engines of a deployment share.

    Attributes:
        copies: All KV cache copies by handle. The handle of a copy at a hot
            standby is the id of the request.
        engines: The engines by the address that they register.
        records: Runs are recorded here.
        gateways: The numbers of the gateways by their IP address.
        sends_fatal_part: Whether callers send the part of a prompt under which
            engines crash.
        on_fatal: Called with an engine that has crashed under it.
        clock: The source of time.
        rng: The random number generator.
    """

    copies: dict[str, KvCacheCopy]
    engines: dict[str, "SoakEngine"]
    records: RunRecords
    clock: Clock
    rng: random.Random
    gateways: dict[str, int] = attrs.field(factory=dict)
    sends_fatal_part: bool = False
    on_fatal: Callable[["SoakEngine"], None] = lambda engine: None


class SoakEngine(ScriptedEngine):
    """An engine behind a proxy; it registers the proxy's address.

    Args:
        name: The engine's id in the store.
        address: `a.b.c.d:port` to listen on.
        service: The service that it runs.
        proxy: The proxy through which it is reached.
        context: The state that it shares with the other engines.
    """

    def __init__(
        self,
        name: str,
        address: str,
        service: str,
        proxy: LoopbackProxy,
        context: EngineContext,
    ) -> None:
        super().__init__(name, address, service)
        self.address = proxy.address
        self.proxy = proxy
        self.handler = self._serve
        self.failure_rate = 0.0
        self.rate_limit: float | None = None
        self.says_leaving = False
        self.pause_s = 0.0
        self.registered_state = ""
        self.slots = SLOTS
        self._context = context
        self._active_runs: dict[str, ActiveRun] = {}
        context.engines[self.address] = self

    def crash(self) -> None:
        """Drops all runs and copies and refuses connections."""
        self.proxy.faults.is_refusing = True
        self.proxy.reset()
        self.drop_state()

    def drop_state(self) -> None:
        """Ends all runs and drops the copies that this engine holds."""
        for active_run in list(self._active_runs.values()):
            active_run.scope.cancel()
        copies = self._context.copies
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

    async def _serve(
        self, received_request: ReceivedRequest, responder: EdgeResponder
    ) -> None:
        gateway = self._sender(responder)
        is_fatal = self._is_fatal(received_request)
        self._context.records.arrivals.append(
            Arrival(
                self.name,
                received_request.id,
                self._context.clock.now(),
                gateway,
                is_fatal,
                self.data_center,
            )
        )
        if self.pause_s:
            await self._ask_for_time(received_request, responder, gateway)
            return
        if is_fatal:
            await responder.start_stream(200, engine_headers(received_request))
            await self._context.clock.sleep(EVENT_INTERVAL_MS)
            self._context.records.crashes_ms.append(self._context.clock.now())
            self._context.on_fatal(self)
            return
        first = self._first_event(received_request)
        is_full = (
            len(self._active_runs) >= self.slots
            or received_request.id in self._active_runs
        )
        if first is None or is_full:
            await send_not_run(received_request, responder)
            return
        with self._track_run(received_request, first) as active_run:
            if RequestKind(active_run.run.kind).is_stream:
                await self._stream(
                    received_request, responder, active_run, gateway
                )
            else:
                await self._respond(received_request, responder, gateway)

    def _sender(self, responder: EdgeResponder) -> int:
        """Returns the number of the gateway that sent a request."""
        _, port = responder.peer
        return self._context.gateways[self.proxy.sources[port]]

    def _is_fatal(self, received_request: ReceivedRequest) -> bool:
        parts = received_request.headers.get(headers.PROMPT_PARTS.decode(), "")
        return records.FATAL_PART in parts

    def _first_event(self, received_request: ReceivedRequest) -> int | None:
        """Returns a run's first event; None if this engine lacks its copy."""
        source = received_request.headers.get(headers.RESUME_FROM.decode())
        last_id = received_request.headers.get(
            headers.LAST_EVENT_ID.decode(), "0"
        )
        if source is None:
            return int(last_id) + 1
        handle = source.partition("/")[2]
        copy = self._context.copies.get(handle)
        if copy is None or copy.engine != self.address:
            return None
        # A copy can be used only once.
        del self._context.copies[handle]
        return int(last_id) + 1

    async def _ask_for_time(
        self,
        received_request: ReceivedRequest,
        responder: EdgeResponder,
        gateway: int,
    ) -> None:
        now = self._context.clock.now()
        self._context.records.pauses.append(
            PauseResponse(
                self.name,
                received_request.id,
                now,
                now + int(1_000 * self.pause_s),
                gateway,
            )
        )
        await send_pause(received_request, responder, self.pause_s)

    def _headers(
        self, received_request: ReceivedRequest, gateway: int
    ) -> Headers:
        """Returns the headers of a response, and records what they declare."""
        leaving = []
        if self.says_leaving:
            leaving = [LEAVING]
            self._context.records.leaving.append(
                LeavingResponse(
                    self.name,
                    received_request.id,
                    self._context.clock.now(),
                    gateway,
                )
            )
        if self.rate_limit is not None:
            self._context.records.declarations.append(
                Declaration(
                    self.name,
                    received_request.id,
                    self.rate_limit,
                    self._context.clock.now(),
                    gateway,
                )
            )
        return [
            *engine_headers(received_request),
            *rate_limit_headers(self.rate_limit),
            *leaving,
            *cold_headers(self.cold_remaining_ms),
        ]

    @contextmanager
    def _track_run(
        self, received_request: ReceivedRequest, first: int
    ) -> Iterator[ActiveRun]:
        fields = received_request.headers
        run = Run(
            id=received_request.id,
            kind=received_request.request.target.decode().split("/")[1],
            engine=self.name,
            account=fields.get(headers.ACCOUNT.decode(), ""),
            body=received_request.request.body,
            has_key=headers.AUTHORIZATION.decode() in fields,
            is_resumed=headers.RESUME_FROM.decode() in fields,
            first_event=first,
            started_ms=self._context.clock.now(),
        )
        self._context.records.runs.append(run)
        active_run = ActiveRun(run, first - 1, anyio.CancelScope())
        self._active_runs[run.id] = active_run
        address = fields.get(headers.STANDBY.decode())
        if address in self._context.engines:
            active_run.standby_copy = KvCacheCopy(str(address), 0, self.address)
            self._context.copies[run.id] = active_run.standby_copy
            self._record_copy(run.id, self._context.engines[str(address)])
        try:
            with active_run.scope:
                yield active_run
        finally:
            run.ended_ms = self._context.clock.now()
            self._active_runs.pop(run.id, None)

    async def _respond(
        self,
        received_request: ReceivedRequest,
        responder: EdgeResponder,
        gateway: int,
    ) -> None:
        await self._context.clock.sleep(CALL_DURATION_MS)
        self._record_reachability(received_request.id)
        if self._context.rng.random() < self.failure_rate:
            head = self._headers(received_request, gateway)
            await responder.send(500, head, b"failed")
            return
        body = records.full_response(
            received_request.id, received_request.request.body
        )
        head = self._headers(received_request, gateway)
        await responder.send(200, head, body)

    async def _stream(
        self,
        received_request: ReceivedRequest,
        responder: EdgeResponder,
        active_run: ActiveRun,
        gateway: int,
    ) -> None:
        total = int(received_request.request.body or b"1")
        kind = (b"Content-Type", b"text/event-stream")
        await responder.start_stream(
            200, [*self._headers(received_request, gateway), kind]
        )
        while active_run.event_count < total:
            await self._context.clock.sleep(EVENT_INTERVAL_MS)
            self._record_reachability(received_request.id)
            active_run.event_count += 1
            if active_run.standby_copy is not None:
                active_run.standby_copy.event_count = active_run.event_count
            await responder.write(
                records.event(
                    received_request.id, active_run.event_count, self.version
                )
            )
        self._context.copies.pop(received_request.id, None)
        await responder.end_stream()

    def _record_copy(self, request_id: str, target: "SoakEngine") -> None:
        self._context.records.copies.append(
            Copy(target.name, request_id, target.data_center)
        )

    def _record_reachability(self, request_id: str) -> None:
        if not self.proxy.is_healthy and request_id in self._active_runs:
            self._active_runs[request_id].run.was_unreachable = True

    def _free_copy(self, handle: str) -> int:
        name = urllib.parse.unquote(handle)
        copy = self._context.copies.get(name)
        if copy is None or self.address not in (copy.source, copy.engine):
            return NOT_FOUND
        del self._context.copies[name]
        return 200

    async def _handle_migration(
        self, request: EdgeRequest, responder: EdgeResponder
    ) -> None:
        body = orjson.loads(request.body)
        status, response = await self._migrate(
            body["id"], body["to"], bool(body.get("last"))
        )
        await responder.send(status, [], orjson.dumps(response))

    async def _migrate(
        self, request_id: str, to: str, is_last: bool
    ) -> tuple[int, dict[str, object]]:
        active_run = self._active_runs.get(request_id)
        if active_run is None:
            return NOT_FOUND, {}
        if active_run.is_migrating:
            return BUSY, {}
        target = self._context.engines.get(to)
        if target is None or target.proxy.faults.is_refusing:
            return NO_ROOM, {}
        self._record_copy(request_id, target)
        active_run.is_migrating = True
        try:
            if is_last:
                active_run.scope.cancel()
            await self._context.clock.sleep(MIGRATION_MS)
        finally:
            active_run.is_migrating = False
        handle = f"h-{request_id}-{to}"
        self._context.copies[handle] = KvCacheCopy(
            to, active_run.event_count, self.address
        )
        return 200, {"handle": handle, "created": active_run.event_count}
