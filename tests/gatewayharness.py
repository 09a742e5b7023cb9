"""Runs a gateway's request path on loopback, with scripted engines."""

import asyncio
import socket
from contextlib import asynccontextmanager

import anyio
import attrs

from lab.standins.platformengine import ScriptedEngine
from rhubarbwinch.gateway.callerbuffers import CallerBuffers
from rhubarbwinch.gateway.context import Context
from rhubarbwinch.gateway.crashes import CrashTracker
from rhubarbwinch.gateway.crashsuspects import CrashSuspects
from rhubarbwinch.gateway.decisions.accountshares import AccountShares
from rhubarbwinch.gateway.decisions.configfreshness import ConfigFreshness
from rhubarbwinch.gateway.decisions.eligibility import Regions
from rhubarbwinch.gateway.decisions.serviceversions import ServiceVersions
from rhubarbwinch.gateway.decisions.warmups import Warmups
from rhubarbwinch.gateway.edge import EdgeServer
from rhubarbwinch.gateway.failurereports import FailureReports
from rhubarbwinch.gateway.fleet import Fleet
from rhubarbwinch.gateway.isolation import Isolation
from rhubarbwinch.gateway.isolationmonitor import IsolationMonitor
from rhubarbwinch.gateway.loads import LoadTracker
from rhubarbwinch.gateway.messages import FailureNotice
from rhubarbwinch.gateway.migratedcopies import CopyManager
from rhubarbwinch.gateway.permits import Permits
from rhubarbwinch.gateway.plaincalls import PlainCalls
from rhubarbwinch.gateway.ratelimits import RateLimits
from rhubarbwinch.gateway.retrybudget import RetryBudget
from rhubarbwinch.gateway.router import Router
from rhubarbwinch.gateway.slotgate import SlotGate
from rhubarbwinch.gateway.slotshares import SlotShares
from rhubarbwinch.gateway.streamorigins import StreamOrigins
from rhubarbwinch.gateway.streams import StreamCalls
from rhubarbwinch.gateway.suspicion import Suspicion
from rhubarbwinch.gateway.takeups import TakeUps
from rhubarbwinch.gateway.upstream import Upstream
from rhubarbwinch.http.transport import Transport
from rhubarbwinch.platform.adapter import KielichowaPlatform
from rhubarbwinch.platform.enginecalls import PlatformEngineCalls
from rhubarbwinch.shared.clock import SystemClock
from tests import gatewaybuilders as build
from tests.helpers import free_address


class NoPeers:
    """A `Peers` for a gateway without other gateways."""

    live_count = 0
    data_center_count = 0
    uses_relays = False

    def announce_loads(self):
        """Does nothing."""

    def announce(self):
        """Does nothing."""

    async def is_reached_elsewhere(self, address):
        """Returns what peers would reply; None, as there is none."""
        return

    def forward_targets(self, service):
        """Returns the peers that can send requests to a service."""
        return []

    def send_to(self, names, message):
        """Does nothing."""

    def report_full(self, notice):
        """Does nothing."""

    def report_failure(self, endpoint, is_unreachable):
        """Returns the notice that peers would receive."""
        return FailureNotice("g1", "dc-a", endpoint, is_unreachable)


@attrs.define
class Response:
    """A response as the caller received it."""

    status: int
    headers: dict
    body: bytes
    is_complete: bool


class GatewayHarness:
    """A gateway's router with scripted engines behind it."""

    def __init__(self, engines, table, tracer=None, peers=None, regions=None):
        self.engines = [
            ScriptedEngine(f"e{i}", free_address(), "svc")
            for i in range(1, engines + 1)
        ]
        self.broadcasts = []
        self.left = []
        self.gone = []
        # The size of the callers' receive buffers; None for the system's own.
        self.receive_buffer = None
        self.platform = KielichowaPlatform()
        self.transport = Transport()
        fleet = Fleet()
        versions = ServiceVersions()
        isolation = Isolation()
        loads = LoadTracker()
        peers = peers or NoPeers()
        self.context = Context(
            data_center="dc-a",
            platform=self.platform,
            clock=SystemClock(),
            rng=build.rng(),
            fleet=fleet,
            loads=loads,
            suspicion=Suspicion(),
            reports=FailureReports("dc-a"),
            budget=RetryBudget(0.2, 10_000, 100),
            peers=peers,
            upstream=Upstream(self.platform, self.transport, tracer),
            tracer=tracer,
            copies=CopyManager(
                PlatformEngineCalls(self.transport), SystemClock()
            ),
            crashes=CrashTracker(
                CrashSuspects(lambda key: True),
                self.transport.is_unreachable,
                SystemClock(),
                self.broadcasts.append,
                peers.is_reached_elsewhere,
            ),
            isolation=isolation,
            isolation_monitor=IsolationMonitor(
                isolation,
                SystemClock(),
                lambda service: [
                    k.endpoint for k in fleet.accepting_for_service(service)
                ],
                self.transport.is_unreachable,
                peers.is_reached_elsewhere,
                peers.announce,
            ),
            slots=SlotGate(SlotShares("g1"), loads, SystemClock()),
            permits=Permits(
                RateLimits("g1"), Warmups("g1"), NoPeers(), SystemClock()
            ),
            takeups=TakeUps(
                StreamOrigins("g1"), NoPeers(), fleet, versions, SystemClock()
            ),
            versions=versions,
            accounts=AccountShares(),
            regions=regions or Regions(),
            freshness=ConfigFreshness(2_000),
            on_leaving=self._handle_leaving,
            on_gone=self._handle_gone,
            table=table,
        )
        for engine in self.engines:
            self.apply_registration(engine)
        self.streams = StreamCalls(self.context)
        self.router = Router(
            self.context, PlainCalls(self.context), self.streams
        )
        self.address = free_address()
        self.buffers = CallerBuffers(205, self.transport.buffers, SystemClock())
        self.edge = EdgeServer(
            self.address,
            self.router.handle,
            SystemClock(),
            self.buffers,
            self.router.refuse_body,
        )
        self.forward_address = free_address()
        self.forwarded = EdgeServer(
            self.forward_address, self.router.handle_forwarded, SystemClock()
        )

    def apply_registration(self, engine, state="ready"):
        """Registers an engine."""
        endpoint = self.platform.decode_endpoint(
            engine.name, engine.registration(state)
        )
        return self.context.fleet.apply_registration(
            endpoint, self.context.clock.now()
        )

    def _handle_leaving(self, endpoint):
        """Handles an endpoint whose response says that it leaves."""
        if self.context.fleet.mark_leaving(
            endpoint.id,
            endpoint.started_ms,
            self.context.clock.now(),
            is_declared=True,
        ):
            self.left.append(endpoint.id)
            self.streams.handle_leaving_engine(endpoint)

    def _handle_gone(self, notice):
        """Handles an endpoint whose start is gone from its address."""
        now = self.context.clock.now()
        if self.context.fleet.mark_gone(*attrs.astuple(notice), now):
            self.gone.append(notice)

    def announce_leaving(self, engine):
        """Delivers the notice that an engine is leaving."""
        assert self.apply_registration(engine, "draining")
        known = self.context.fleet.get(engine.name)
        self.streams.handle_leaving_engine(known.endpoint)

    @property
    def received(self):
        """The name of the engine of each received request, by engine."""
        return [e.name for e in self.engines for _ in e.received]

    async def open(self, request_id="q1", method="POST", path="/r/x", **more):
        """Sends a request; returns the connection's reader and writer."""
        host, port = self.address.split(":")
        sock = socket.socket()
        sock.setblocking(False)
        if self.receive_buffer:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer
            )
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=sock)
        headers = {
            "Host": "h.example",
            "Attempt-Id": request_id,
            "Authorization": "Bearer k1",
            "Token-Usage": "3000,2000",
            "Deadline-Ms": "20000",
            "Connection": "close",
        } | {name.replace("_", "-"): value for name, value in more.items()}
        head = "".join(f"{n}: {v}\r\n" for n, v in headers.items() if v)
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode())
        return reader, writer

    async def call(self, *args, **more):
        """Sends a request and returns the whole response."""
        reader, writer = await self.open(*args, **more)
        try:
            return await read_response(reader)
        finally:
            writer.close()


async def read_response(reader):
    """Reads a response to its end, complete or not."""
    data = b""
    try:
        while True:
            part = await reader.read(65_536)
            if not part:
                break
            data += part
    except ConnectionError:
        # The bytes received before the reset count as an incomplete response.
        data += b""
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    status = int(lines[0].split()[1]) if lines[0] else 0
    if headers.get("transfer-encoding") == "chunked":
        return Response(status, headers, *_unchunk(body))
    size = int(headers.get("content-length", -1))
    return Response(status, headers, body, len(body) == size)


def _unchunk(data):
    """Returns the content of chunks and whether the last chunk is there."""
    found = b""
    while data:
        size, _, rest = data.partition(b"\r\n")
        if int(size, 16) == 0:
            return found, True
        found += rest[: int(size, 16)]
        data = rest[int(size, 16) + 2 :]
    return found, False


@asynccontextmanager
async def running_gateway(
    engines=2, table=None, tracer=None, peers=None, regions=None
):
    """Runs a gateway's request path and its engines."""
    found = GatewayHarness(
        engines, table or build.table(build.route()), tracer, peers, regions
    )
    async with anyio.create_task_group() as tasks:
        for engine in found.engines:
            tasks.start_soon(engine.run)
        tasks.start_soon(found.edge.run)
        tasks.start_soon(found.forwarded.run)
        tasks.start_soon(found.buffers.run)
        tasks.start_soon(found.context.crashes.run)
        tasks.start_soon(found.context.copies.run)
        tasks.start_soon(found.context.isolation_monitor.run)
        await anyio.wait_all_tasks_blocked()
        try:
            yield found
        finally:
            await found.transport.aclose()
            tasks.cancel_scope.cancel()
