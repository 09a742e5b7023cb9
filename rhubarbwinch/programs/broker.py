"""The broker program, which decides permit requests for the pools it owns."""

import random
from collections.abc import Callable

import anyio
import attrs

from rhubarbwinch.admission.admission import (
    Admission,
    AdmissionOptions,
    Decision,
    EntryMessage,
    LoadReport,
)
from rhubarbwinch.admission.permits import pool_owner
from rhubarbwinch.endpoints.endpointclient import EndpointClient
from rhubarbwinch.http.httpapi import App
from rhubarbwinch.links.messages import (
    DigestReply,
    DigestReport,
    PermitRelease,
    PermitReply,
    PermitRequest,
    ProgressReport,
)
from rhubarbwinch.membership.members import Role
from rhubarbwinch.membership.poolownership import PoolOwnership
from rhubarbwinch.programs.config import BrokerSettings
from rhubarbwinch.programs.daemon import Daemon
from rhubarbwinch.programs.dependencies import Dependencies
from rhubarbwinch.records.acceptedconfig import ConfigSnapshot
from rhubarbwinch.records.records import PoolSpec
from rhubarbwinch.shared import metrics, tracing
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import EndpointError, LinkError
from rhubarbwinch.shared.verdict import Reason, not_run

# Returns the names of a pool's leaving endpoints.
LeavingFinder = Callable[[PoolSpec], set[str]]

TICK_MS = 20
LOAD_TIMEOUT_MS = 1000
MAX_BODY_BYTES = 64 << 10
RETRY_AFTER_MS = 1000


@attrs.define
class _Waiter:
    """A permit request that waits for its decision."""

    pool: str
    done: anyio.Event = attrs.field(factory=anyio.Event)
    reply: PermitReply | None = None


class BrokerPools:
    """The pools of a broker and the permit requests that wait for them.

    Args:
        clock: The source of time.
        rng: The source of random tie-breaks.
        counters: Receives the metrics.
        ownership: Knows the pools that were taken over from another broker,
            whose first decisions have to wait; None for no wait.
        options: The options of the pools' admission.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        counters: metrics.Metrics,
        ownership: PoolOwnership | None = None,
        options: AdmissionOptions | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._metrics = counters
        self._options = options or AdmissionOptions()
        self._ownership = ownership
        self._pools: dict[str, Admission] = {}
        self._specs: dict[str, PoolSpec] = {}
        self._find_leaving: LeavingFinder = lambda _: set()
        self._waiters: dict[str, _Waiter] = {}

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a decision."""
        return len(self._waiters)

    def set_leaving_finder(self, find: LeavingFinder) -> None:
        """Sets the function that finds a pool's leaving endpoints."""
        self._find_leaving = find
        for name, pool in self._pools.items():
            pool.set_leaving(find(self._specs[name]))

    def configure(self, snapshot: ConfigSnapshot) -> None:
        """Applies the pools of a new configuration.

        Requests that wait for a removed pool are refused.
        """
        self._specs = dict(snapshot.pools)
        if self._ownership is not None:
            self._ownership.set_pools(snapshot.pools)
        for name, spec in snapshot.pools.items():
            if name in self._pools:
                self._pools[name].configure(spec, snapshot.accounts)
            else:
                self._pools[name] = Admission(
                    spec,
                    self._clock,
                    self._rng,
                    snapshot.accounts,
                    self._options,
                )
        for name in self._pools.keys() - snapshot.pools.keys():
            del self._pools[name]
            self._refuse_waiting(name)
        self.set_leaving_finder(self._find_leaving)

    async def decide(self, request: PermitRequest) -> PermitReply:
        """Decides a request, after its wait in the pool's queue."""
        pool = self._pools.get(request.pool)
        if pool is None:
            return _refuse_unknown_pool(request.pool)
        waiter = _Waiter(request.pool)
        self._waiters[request.request_id] = waiter
        try:
            if self._ownership is not None:
                ms_until_ready = self._ownership.ms_until_ready(request.pool)
                await self._clock.sleep(ms_until_ready)
            if waiter.reply is None:
                self._deliver(pool.submit(request))
            await waiter.done.wait()
        finally:
            self._waiters.pop(request.request_id, None)
        if waiter.reply is None:
            raise AssertionError("a waiter was woken without a decision")
        return waiter.reply

    def _refuse_waiting(self, pool: str) -> None:
        """Refuses the requests that wait for a removed pool."""
        for waiter in self._waiters.values():
            if waiter.pool == pool:
                waiter.reply = _refuse_unknown_pool(pool)
                waiter.done.set()

    async def release(self, release: PermitRelease) -> None:
        """Releases a permit; without a pool's name it is released in all."""
        pools = [self._pools.get(release.pool)]
        if not release.pool:
            pools = list(self._pools.values())
        for pool in filter(None, pools):
            self._deliver(pool.release(release))

    async def apply_progress_report(self, report: ProgressReport) -> None:
        """Applies an entry's report of its open streams."""
        if report.pool in self._pools:
            self._pools[report.pool].apply_progress_report(report)

    async def check_digest(self, report: DigestReport) -> DigestReply:
        """Compares the digest of an entry's open streams with the pool's."""
        pool = self._pools.get(report.pool)
        return DigestReply(pool is not None and pool.check_digest(report))

    def apply_load_report(self, pool: str, report: LoadReport) -> None:
        """Applies an engine's load report."""
        if pool in self._pools:
            self._pools[pool].apply_load_report(report)

    def tick(self) -> list[EntryMessage]:
        """Makes the decisions that depend on time.

        Returns:
            The priority changes to send to entries.
        """
        entry_messages = []
        for pool in self._pools.values():
            self._deliver(pool.decide())
            entry_messages += pool.pop_priority_changes()
        queue_length = sum(pool.queue_length for pool in self._pools.values())
        self._metrics.gauge(metrics.QUEUED, queue_length)
        self._metrics.count(metrics.YIELDS, len(entry_messages))
        return entry_messages

    def _deliver(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            granted = decision.reply.grant is not None
            name = metrics.PERMITS if granted else metrics.REFUSALS
            self._metrics.count(name)
            waiter = self._waiters.get(decision.request_id)
            if waiter is not None:
                waiter.reply = decision.reply
                waiter.done.set()


def _refuse_unknown_pool(name: str) -> PermitReply:
    """Refuses a request; the next configuration may have the pool again."""
    failure = not_run(Reason.NO_ENDPOINT, f"no pool {name}", RETRY_AFTER_MS)
    return PermitReply(failure=failure)


class Broker:
    """The broker program.

    Args:
        settings: The broker's settings.
        dependencies: The program's dependencies; None for those of a process.
        endpoints: Calls endpoints; None for a client over HTTP.
    """

    def __init__(
        self,
        settings: BrokerSettings,
        dependencies: Dependencies | None = None,
        endpoints: EndpointClient | None = None,
    ) -> None:
        self._daemon = Daemon(Role.BROKER, settings, dependencies)
        self._settings = settings
        self._endpoints = endpoints or EndpointClient(LOAD_TIMEOUT_MS)
        self._broker_pools = BrokerPools(
            self._daemon.clock,
            random.Random(self._daemon.incarnation),
            self._daemon.metrics,
            PoolOwnership(self._daemon.members, self._daemon.clock),
            AdmissionOptions(placement=settings.placement),
        )

    async def run(self) -> None:
        """Runs until the program is stopped."""
        daemon = self._daemon
        daemon.config.on_change(self._broker_pools.configure)
        daemon.leaving.on_change(self._mark_leaving)
        self._mark_leaving()
        daemon.drain.open_count = lambda: self._broker_pools.waiting
        daemon.server.on(PermitRequest, self._handle_request)
        daemon.server.on(PermitRelease, self._broker_pools.release)
        daemon.server.on(
            ProgressReport, self._broker_pools.apply_progress_report
        )
        daemon.server.on(DigestReport, self._broker_pools.check_digest)
        daemon.serve_http(App(MAX_BODY_BYTES))
        daemon.add("tick", self._tick)
        daemon.add("load", self._poll_loads)
        await daemon.run()
        await self._endpoints.close()

    async def _handle_request(self, request: PermitRequest) -> PermitReply:
        with tracing.span("queue", request.traceparent, pool=request.pool):
            return await self._broker_pools.decide(request)

    def _mark_leaving(self) -> None:
        self._broker_pools.set_leaving_finder(
            self._daemon.leaving.leaving_endpoints
        )

    async def _tick(self) -> None:
        while True:
            await self._daemon.clock.sleep(TICK_MS)
            for entry_message in self._broker_pools.tick():
                await self._send_entry_message(entry_message)

    async def _send_entry_message(self, entry_message: EntryMessage) -> None:
        for entry in self._daemon.members.serving(Role.ENTRY):
            if entry.name != entry_message.entry:
                continue
            try:
                await self._daemon.links.send(entry.link, entry_message.message)
            except LinkError:
                # Without the message the engine itself selects the run that it
                # preempts.
                return

    async def _poll_loads(self) -> None:
        while True:
            await self._daemon.clock.sleep(self._settings.load_poll_ms)
            snapshot = self._daemon.config.snapshot
            members = self._daemon.members
            async with anyio.create_task_group() as tasks:
                for name, spec in snapshot.pools.items():
                    # Only the owner of a pool polls the pool's engines.
                    is_owned = pool_owner(name, members) == members.me
                    if spec.target not in snapshot.models or not is_owned:
                        continue
                    for endpoint in spec.endpoints:
                        tasks.start_soon(
                            self._poll_load,
                            name,
                            endpoint.name,
                            endpoint.address,
                        )

    async def _poll_load(self, pool: str, name: str, address: str) -> None:
        try:
            data = await self._endpoints.read_json(f"http://{address}/load")
        except EndpointError:
            # Failing calls, not missing load reports, show that an engine is
            # down.
            return
        report = LoadReport(
            endpoint=name,
            at_ms=self._daemon.clock.now() - int(data.get("age_ms", 0)),
            running=int(data["running"]),
            waiting=int(data["waiting"]),
            used_tokens=int(data["used_tokens"]),
            capacity_tokens=int(data["capacity_tokens"]),
            step_ms=float(data["step_ms"]),
            preemptions=int(data["preemptions"]),
        )
        self._broker_pools.apply_load_report(pool, report)
