"""Builds and runs the parts of the gateway program."""

import random
import signal
from collections.abc import AsyncIterator, Callable

import anyio
import anyio.abc
import attrs

from rhubarbwinch.gateway import gatewaymetrics
from rhubarbwinch.gateway.callerbuffers import CallerBuffers
from rhubarbwinch.gateway.clusterview import ClusterView
from rhubarbwinch.gateway.context import Context
from rhubarbwinch.gateway.crashes import CrashTracker
from rhubarbwinch.gateway.crashsuspects import CrashSuspects
from rhubarbwinch.gateway.decisions.accountshares import AccountShares
from rhubarbwinch.gateway.decisions.configfreshness import ConfigFreshness
from rhubarbwinch.gateway.decisions.drains import make_drain
from rhubarbwinch.gateway.decisions.serviceversions import ServiceVersions
from rhubarbwinch.gateway.decisions.warmups import Warmups
from rhubarbwinch.gateway.edge import EdgeServer
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.failurereports import FailureReports
from rhubarbwinch.gateway.fleet import Fleet, KnownEndpoint
from rhubarbwinch.gateway.isolation import Isolation
from rhubarbwinch.gateway.isolationmonitor import IsolationMonitor
from rhubarbwinch.gateway.loads import LoadTracker
from rhubarbwinch.gateway.messages import (
    CrashNotice,
    FailureNotice,
    FullNotice,
    GoneNotice,
    HarmlessNotice,
    Heartbeat,
    LeavingNotice,
    OriginBatch,
    OriginCall,
    RateLimitNotice,
    ReachabilityCall,
    ReachabilityReply,
    SharedBatch,
    Snapshot,
    SnapshotCall,
    ValueCall,
)
from rhubarbwinch.gateway.migratedcopies import CopyManager
from rhubarbwinch.gateway.outage import OutageMonitor
from rhubarbwinch.gateway.peers import Peers
from rhubarbwinch.gateway.permits import Permits
from rhubarbwinch.gateway.plaincalls import PlainCalls
from rhubarbwinch.gateway.platforminterface import EngineCalls, Platform
from rhubarbwinch.gateway.ratelimits import RateLimits
from rhubarbwinch.gateway.registration import GatewayRegistration
from rhubarbwinch.gateway.replica import Replica
from rhubarbwinch.gateway.requestspans import Tracer
from rhubarbwinch.gateway.retrybudget import RetryBudget
from rhubarbwinch.gateway.router import Router
from rhubarbwinch.gateway.routes import RoutingTable
from rhubarbwinch.gateway.settings import GatewaySettings
from rhubarbwinch.gateway.slotgate import SlotGate
from rhubarbwinch.gateway.slotshares import SlotShares
from rhubarbwinch.gateway.state.versionrecords import VersionRecorder
from rhubarbwinch.gateway.statusapi import StatusApi
from rhubarbwinch.gateway.storefeed import StoreFeed
from rhubarbwinch.gateway.streamorigins import StreamOrigins
from rhubarbwinch.gateway.streams import StreamCalls
from rhubarbwinch.gateway.suspicion import Suspicion
from rhubarbwinch.gateway.takeups import TakeUps
from rhubarbwinch.gateway.upstream import Upstream
from rhubarbwinch.http.transport import Transport, TransportOptions
from rhubarbwinch.links.broadcast import Broadcast
from rhubarbwinch.links.links import Links, LinkServer
from rhubarbwinch.shared import events, identifiers
from rhubarbwinch.shared.clock import Clock, SystemClock
from rhubarbwinch.shared.exceptions import (
    SettingError,
)
from rhubarbwinch.shared.logoutput import LineOutput
from rhubarbwinch.shared.supervisor import Supervisor
from rhubarbwinch.stores.store import PollingStore

# An endpoint whose VM acknowledges no data for this time is unreachable. Sound
# ones may be silent for a second or so.
ENDPOINT_ACK_TIMEOUT_MS = 2_500
TICK_MS = 100
PEER_CHECK_MS = 1_000
BOOTSTRAP_DELAY_MS = 200
SETTINGS_CHECK_MS = 5_000
DRAIN_CHECK_MS = 50
# Timeout of the last call to the store, which removes the registration. If the
# call fails, the lease expires.
DEREGISTER_TIMEOUT_MS = 300
_HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@attrs.frozen
class GatewayDependencies:
    """The external dependencies of a gateway.

    Attributes:
        platform: Translates the platform's names and formats.
        store: The platform's key-value store.
        transport: Owns the connections to endpoints.
        engine_calls: Control calls to engines.
        load_settings: Reads the settings again.
        clock: The source of time.
        lines: The output of log lines; None if drops are not counted.
        tracer: Creates spans of requests; None if tracing is off.
    """

    platform: Platform
    store: PollingStore
    transport: Transport
    engine_calls: EngineCalls
    load_settings: Callable[[], GatewaySettings]
    lines: LineOutput | None = None
    tracer: Tracer | None = None
    clock: Clock = attrs.field(factory=SystemClock)


def make_transport() -> Transport:
    """Returns the transport for connections to endpoints."""
    return Transport(TransportOptions(dead_peer_ms=ENDPOINT_ACK_TIMEOUT_MS))


class Gateway:
    """The gateway program.

    Args:
        settings: The settings at the start.
        dependencies: The external dependencies.
    """

    def __init__(
        self, settings: GatewaySettings, dependencies: GatewayDependencies
    ) -> None:
        self._settings = settings
        self._dependencies = dependencies
        clock = self._clock = dependencies.clock
        incarnation = identifiers.new_incarnation()
        rng = random.Random(incarnation)
        self._links = Links(incarnation)
        self._server = LinkServer(settings.address.link)
        self._broadcast = Broadcast(settings.address.broadcast)
        loads = LoadTracker()
        fleet = Fleet()
        versions = ServiceVersions()
        heartbeat = Heartbeat(
            settings.name,
            incarnation,
            0,
            settings.address.link,
            settings.address.broadcast,
            settings.front,
            settings.data_center,
            forward=settings.forward,
            link_mbps=settings.link_mbps,
        )
        self._peers = Peers(
            heartbeat,
            self._broadcast,
            self._links,
            clock,
            loads,
            self._complete_heartbeat,
        )
        isolation = Isolation()
        self._context = Context(
            data_center=settings.data_center,
            platform=dependencies.platform,
            clock=clock,
            rng=rng,
            fleet=fleet,
            loads=loads,
            suspicion=Suspicion(),
            reports=FailureReports(settings.data_center),
            budget=RetryBudget(
                settings.retry_ratio,
                settings.retry_window_ms,
                settings.retry_extra,
            ),
            peers=self._peers,
            upstream=Upstream(
                dependencies.platform,
                dependencies.transport,
                dependencies.tracer,
            ),
            tracer=dependencies.tracer,
            copies=CopyManager(dependencies.engine_calls, clock),
            crashes=CrashTracker(
                CrashSuspects(self._peers.owns),
                dependencies.transport.is_unreachable,
                clock,
                self._broadcast.send,
                self._peers.is_reached_elsewhere,
            ),
            isolation=isolation,
            isolation_monitor=IsolationMonitor(
                isolation,
                clock,
                self._accepting_endpoints,
                dependencies.transport.is_unreachable,
                self._peers.is_reached_elsewhere,
                self._peers.announce,
            ),
            slots=SlotGate(SlotShares(settings.name), loads, clock),
            permits=Permits(
                RateLimits(settings.name),
                Warmups(settings.name),
                self._peers,
                clock,
            ),
            takeups=TakeUps(
                StreamOrigins(settings.name),
                self._peers,
                fleet,
                versions,
                clock,
            ),
            versions=versions,
            accounts=AccountShares(),
            regions=settings.regions,
            freshness=ConfigFreshness(settings.config_apply_ms),
            on_leaving=self._handle_declared_leaving,
            on_gone=self._handle_gone,
        )
        self._replica = Replica()
        self._streams = StreamCalls(self._context)
        self._cluster_view = ClusterView(
            self._context,
            self._streams,
            dependencies.transport,
            self._apply_limits,
        )
        self._store_feed = StoreFeed(
            dependencies.store,
            self._replica,
            clock,
            self._peers.should_watch,
            self._peers.is_watcher,
            lambda: self._peers.revision,
            lambda: self._peers.store_available_ms,
            lambda: self._peers.live_count + 1,
            self._peers.fetch_newest_snapshot,
            self._peers.broadcast_changes,
            self._cluster_view.apply_changes,
            self._links,
            settings.address.link,
        )
        self._context.store_confirmed_ms = self._store_confirmed_ms
        self._context.store_position = lambda: max(
            self._replica.revision, self._peers.revision
        )
        key = dependencies.platform.member_prefix + settings.name
        self._registration = GatewayRegistration(
            dependencies.store,
            clock,
            key,
            heartbeat.address,
            lambda: self._store_feed.era,
        )
        self._version_recorder = VersionRecorder(
            dependencies.store,
            clock,
            fleet,
            versions,
            dependencies.platform.version_prefix,
            self._peers.owns,
        )
        router = self._router = Router(
            self._context, PlainCalls(self._context), self._streams
        )
        self._outage = OutageMonitor(
            clock,
            dependencies.engine_calls,
            self._store_confirmed_ms,
            lambda: self._peers.is_store_failing(self._store_feed.is_failing),
            lambda: [
                known.endpoint for known in self._own_engines(lambda _: True)
            ],
            self._own_expired_engines,
            self._announce_leaving,
        )
        self._buffers = CallerBuffers(
            settings.memory_mb, dependencies.transport.buffers, clock
        )
        self._front = EdgeServer(
            settings.front,
            router.handle,
            clock,
            self._buffers,
            router.refuse_body,
        )
        self._forwarded = EdgeServer(
            settings.forward,
            router.handle_forwarded,
            clock,
            self._buffers,
            router.refuse_body,
        )
        self._status_api = StatusApi(
            dependencies.platform,
            self._peers,
            settings,
            lambda: self.is_ready,
            self._home_regions_of,
            lambda: self._context.regions,
        )
        self._was_ready = False
        self._was_failing = False

    @property
    def is_ready(self) -> bool:
        """Whether the gateway accepts new callers."""
        return self._context.table is not None and not self._context.is_draining

    @property
    def _config_version(self) -> int:
        """The version of the active configuration; 0 if there is none."""
        table = self._context.table
        return table.version if table is not None else 0

    @property
    def _open_requests(self) -> int:
        """The number of requests that are being served."""
        return (
            self._front.status.open_requests
            + self._forwarded.status.open_requests
        )

    @property
    def _unsent_connections(self) -> int:
        """The number of connections with bytes in their write buffers."""
        return (
            self._front.unsent_connections + self._forwarded.unsent_connections
        )

    async def run(self) -> None:
        """Runs until SIGTERM, then drains and returns.

        Raises:
            RestartLimitError: A task failed too often.
        """
        settings = self._settings
        for seed in settings.seeds:
            self._peers.add(seed)
        self._handle_messages()
        supervisor = Supervisor(settings.name, self._clock)
        supervisor.add("links", self._links.run)
        supervisor.add("link-server", self._server.run)
        supervisor.add("broadcast", self._broadcast.run)
        supervisor.add("peers", self._peers.run)
        supervisor.add("heartbeat-relay", self._peers.run_relay)
        supervisor.add("feed", self._store_feed.run)
        supervisor.add("fetches", self._store_feed.run_fetches)
        supervisor.add("bootstrap", self._bootstrap)
        supervisor.add("registration", self._registration.run)
        supervisor.add("version-records", self._version_recorder.run)
        supervisor.add("front", self._front.run)
        supervisor.add("forwarded", self._forwarded.run)
        supervisor.add("caller-buffers", self._buffers.run)
        for name, address in (
            ("ready", settings.ready),
            ("directory", settings.directory),
            ("metrics", settings.metrics),
        ):
            server = EdgeServer(address, self._status_api.handle, self._clock)
            supervisor.add(name, server.run)
        supervisor.add("copies", self._context.copies.run)
        supervisor.add("crashes", self._context.crashes.run)
        supervisor.add("isolation", self._context.isolation_monitor.run)
        supervisor.add("tick", self._tick)
        supervisor.add("outage", self._outage.run)
        supervisor.add("settings", self._watch_settings)
        events.STARTED.log(name=settings.name, settings=attrs.asdict(settings))
        # The receiver stays open until the end because late signals may come.
        with anyio.open_signal_receiver(*_HANDLED_SIGNALS) as signals:
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._watch_signals, signals, tasks)
                    await supervisor.run()
            except* Exception as group:
                # The task group wraps the supervisor's exception in a group.
                raise group.exceptions[0] from None
            finally:
                # After the receiver is closed a signal would end the process
                # with a status of failure. A blocked signal stays pending.
                signal.pthread_sigmask(signal.SIG_BLOCK, _HANDLED_SIGNALS)
                with (
                    anyio.CancelScope(shield=True),
                    anyio.move_on_after(DEREGISTER_TIMEOUT_MS / 1000),
                ):
                    await self._registration.close()
        events.STOPPED.log(name=settings.name, unsent=self._unsent_connections)

    def _home_regions_of(self, host: str) -> frozenset[str]:
        """Returns the regions to which a host's requests are bound."""
        table = self._context.table
        return table.home_regions_of(host) if table else frozenset()

    def _store_confirmed_ms(self) -> int:
        """Returns the age of the newest response of the store to a gateway."""
        return min(self._store_feed.confirmed_ms, self._peers.confirmed_ms)

    def _handle_messages(self) -> None:
        """Sets the handlers of the messages of other gateways."""
        self._broadcast.on(SharedBatch, self._store_feed.receive_batch)
        self._broadcast.on(
            LeavingNotice, self._cluster_view.apply_leaving_notice
        )
        self._broadcast.on(GoneNotice, self._handle_gone_notice)
        crashes = self._context.crashes
        self._broadcast.on(CrashNotice, crashes.handle_crash_notice)
        self._broadcast.on(HarmlessNotice, crashes.handle_harmless_notice)
        self._peers.on_refused_suspects(crashes.handle_listing)
        self._peers.on_brittle_services(self._handle_brittle_services)
        self._peers.on_usage(self._handle_usage)
        self._broadcast.on(FailureNotice, self._context.handle_failure)
        permits = self._context.permits
        self._broadcast.on(FullNotice, permits.handle_full_notice)
        self._broadcast.on(RateLimitNotice, self._context.permits.handle_notice)
        self._broadcast.on(OriginBatch, self._context.takeups.receive)
        self._server.on(OriginCall, self._context.takeups.handle_call)
        self._peers.on_limits(self._context.permits.handle_listing)
        self._server.on(SnapshotCall, self._reply_snapshot)
        self._server.on(ReachabilityCall, self._reply_reachability)
        self._server.on(ValueCall, self._store_feed.handle_value_call)

    def _complete_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Fills in the fields of a heartbeat that change over time."""
        return attrs.evolve(
            heartbeat,
            is_serving=self.is_ready,
            is_leaving=self._context.is_draining,
            revision=self._replica.revision,
            confirmed_ms=self._store_feed.confirmed_ms,
            is_store_failing=self._store_feed.is_failing,
            store_available_ms=self._store_feed.available_ms,
            limits=self._context.permits.listing(),
            brittle_services=self._context.slots.shares.listing(
                self._clock.now()
            ),
            isolated_from=self._context.isolation.services,
            refused_suspects=self._context.crashes.listing(),
            config_version=self._config_version,
            accounts=self._context.accounts.usages(),
        )

    def _apply_limits(self, table: RoutingTable) -> None:
        """Applies the HTTP limits of a configuration to the front server."""
        for server in (self._front, self._forwarded):
            server.status.limits = table.limits

    async def _bootstrap(self) -> None:
        """Fetches a snapshot from peers until there is a configuration."""
        # Usually the store responds first. Gateways that start together would
        # otherwise all ask each other for the same snapshot.
        await self._clock.sleep(BOOTSTRAP_DELAY_MS)
        while self._context.table is None:
            snapshot = await self._peers.fetch_newest_snapshot()
            if snapshot is None:
                snapshot = await self._peers.fetch_any_snapshot()
            if snapshot is not None and self._context.table is None:
                self._store_feed.apply_snapshot(snapshot)
                # In the store these engines may not be marked as leaving yet.
                for notice in snapshot.leaving:
                    self._cluster_view.apply_leaving_notice(notice)
            await self._clock.sleep(TICK_MS)

    async def _reply_snapshot(self, call: SnapshotCall) -> Snapshot:
        """Returns a snapshot of the known state to a gateway that starts."""
        snapshot = await self._store_feed.handle_snapshot_call(call)
        return attrs.evolve(
            snapshot, leaving=self._cluster_view.leaving_notices()
        )

    def _handle_usage(self, gateway: str, heartbeat: Heartbeat | None) -> None:
        usages = heartbeat.accounts if heartbeat is not None else []
        self._context.accounts.receive(gateway, usages, self._clock.now())

    def _handle_brittle_services(self, services: list[str]) -> None:
        shares = self._context.slots.shares
        shares.record_listing(services, self._clock.now())

    async def _reply_reachability(
        self, call: ReachabilityCall
    ) -> ReachabilityReply:
        """Returns whether this gateway can connect to an endpoint."""
        transport = self._dependencies.transport
        return ReachabilityReply(
            not await transport.is_unreachable(call.address)
        )

    def _accepting_endpoints(self, service: str) -> list[Endpoint]:
        """Returns the endpoints of a service that accept requests."""
        fleet = self._context.fleet
        return [k.endpoint for k in fleet.accepting_for_service(service)]

    def _own_expired_engines(self) -> list[Endpoint]:
        """Returns those of the polled engines whose lease has expired."""
        return [k.endpoint for k in self._own_engines(lambda k: k.has_expired)]

    def _own_engines(
        self, is_wanted: Callable[[KnownEndpoint], bool]
    ) -> list[KnownEndpoint]:
        """Returns the wanted engines that this gateway polls for all peers."""
        table = self._context.table
        services = table.services if table is not None else {}
        return [
            known
            for known in self._context.fleet.all_staying()
            if is_wanted(known)
            and (spec := services.get(known.endpoint.service)) is not None
            and spec.engine is not None
            and self._peers.owns(known.endpoint.id)
        ]

    def _announce_leaving(self, endpoint: Endpoint) -> None:
        """Applies an engine's report that it leaves, and tells the peers."""
        self._share_leaving(LeavingNotice(endpoint.id, endpoint.started_ms))

    def _handle_declared_leaving(self, endpoint: Endpoint) -> None:
        """Applies a response that says that its endpoint leaves."""
        self._share_leaving(
            LeavingNotice(endpoint.id, endpoint.started_ms, is_declared=True)
        )

    def _share_leaving(self, notice: LeavingNotice) -> None:
        self._broadcast.send(notice)
        self._cluster_view.apply_leaving_notice(notice)

    def _handle_gone(self, notice: GoneNotice) -> None:
        """Applies a response with status 421, and tells the peers."""
        if self._cluster_view.apply_gone_notice(notice):
            self._broadcast.send(notice)

    def _handle_gone_notice(self, notice: GoneNotice) -> None:
        """Applies what another gateway has learned by a status of 421."""
        self._cluster_view.apply_gone_notice(notice)

    async def _tick(self) -> None:
        """Runs the periodic work every `TICK_MS`."""
        next_peer_check_ms = 0
        while True:
            await self._clock.sleep(TICK_MS)
            if self._clock.now() >= next_peer_check_ms:
                next_peer_check_ms = self._clock.now() + PEER_CHECK_MS
                self._front.check_peers()
                self._forwarded.check_peers()
            self._cluster_view.expire_endpoints(
                self._store_feed.reliable_since_ms
            )
            self._cluster_view.expire_evacuations()
            gateways = self._peers.sharing_names(self._context.is_draining)
            self._context.permits.update(
                gateways, lambda e: self._context.fleet.get(e) is not None
            )
            self._context.permits.warmups.expire(self._clock.now())
            self._context.loads.speeds.expire(self._clock.now())
            self._context.permits.warmups.set_members(self._peers.known_names)
            self._context.takeups.update(gateways)
            self._check_freshness()
            self._context.slots.shares.set_gateways(gateways)
            gatewaymetrics.OPEN_REQUESTS.set(self._open_requests)
            self._streams.handle_capacity_change()
            if self._store_feed.is_failing != self._was_failing:
                self._was_failing = self._store_feed.is_failing
                self._peers.announce()
            if self.is_ready != self._was_ready:
                self._was_ready = self.is_ready
                events.READY_CHANGED.log(ready=self.is_ready)
                self._peers.announce()
            lines = self._dependencies.lines
            dropped = lines.pop_dropped_count() if lines is not None else 0
            if dropped:
                events.LOG_LINES_LEFT_OUT.log(lines=dropped)

    def _check_freshness(self) -> None:
        """Compares the active configuration with those of the peers."""
        freshness, now = self._context.freshness, self._clock.now()
        was_outdated = freshness.is_outdated(now)
        newest = self._peers.config_version
        freshness.update(self._config_version, newest, now)
        if freshness.is_outdated(now) != was_outdated:
            gatewaymetrics.CONFIG_OUTDATED.set(not was_outdated)
            events.CONFIG_OUTDATED_CHANGED.log(
                outdated=not was_outdated,
                version=self._config_version,
                newest=newest,
                confirmed_ms=self._store_feed.confirmed_ms,
            )

    async def _watch_settings(self) -> None:
        """Reloads the settings periodically, since they may change."""
        while True:
            await self._clock.sleep(SETTINGS_CHECK_MS)
            self._reload()

    def _reload(self) -> None:
        try:
            settings = self._dependencies.load_settings()
        except SettingError as error:
            events.SETTINGS_UNREADABLE.log(error=str(error))
            return
        if settings == self._settings:
            return
        self._settings = settings
        for seed in settings.seeds:
            self._peers.add(seed)
        self._context.budget.configure(
            settings.retry_ratio,
            settings.retry_window_ms,
            settings.retry_extra,
        )
        self._buffers.configure(settings.memory_mb)
        self._context.regions = settings.regions
        events.RELOADED.log(settings=attrs.asdict(settings))

    async def _watch_signals(
        self,
        signals: AsyncIterator[signal.Signals],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        async for number in signals:
            if number != signal.SIGHUP:
                break
            self._reload()
            events.RELOADED.log(signal="SIGHUP")
        # Signals received from here on are ignored: the gateway is stopping.
        await self._drain()
        tasks.cancel_scope.cancel()

    async def _drain(self) -> None:
        """Announces the shutdown and waits until all responses are sent."""
        events.DRAINING.log(name=self._settings.name, open=self._open_requests)
        drain = make_drain(self._clock.now(), self._settings.grace_ms)
        self._context.drain = drain
        for server in (self._front, self._forwarded):
            server.status.is_closing = True
        self._peers.announce()
        while (now := self._clock.now()) < drain.end_ms:
            self._router.end_requests(drain, now)
            if now >= drain.last_read_ms:
                for server in (self._front, self._forwarded):
                    server.stop_reading_requests()
            if (
                now >= drain.accept_until_ms
                and not self._open_requests
                and not self._unsent_connections
            ):
                return
            await self._clock.sleep(DRAIN_CHECK_MS)
        events.DRAIN_LIMIT.log(
            open=self._open_requests, unsent=self._unsent_connections
        )
