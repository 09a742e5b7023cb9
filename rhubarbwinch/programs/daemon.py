"""Base of the daemons: supervisor tree, links, membership, configuration."""

import random
import signal
from collections.abc import Awaitable, Callable

import anyio
from hypercorn.config import Config

from rhubarbwinch.configuration.configreplica import ConfigReplica
from rhubarbwinch.configuration.distribution import Distribution
from rhubarbwinch.http.httpapi import App
from rhubarbwinch.http.httpserver import HttpServer
from rhubarbwinch.membership.gossip import Gossip
from rhubarbwinch.membership.leavingvms import LeavingVms
from rhubarbwinch.membership.members import Member, Members, MemberState, Role
from rhubarbwinch.membership.registration import Registration
from rhubarbwinch.programs.config import Settings
from rhubarbwinch.programs.dependencies import Dependencies, make_dependencies
from rhubarbwinch.programs.probes import DrainState, Probes
from rhubarbwinch.shared import events, metrics, netaddress
from rhubarbwinch.shared.exceptions import StoreError
from rhubarbwinch.shared.metrics import Metrics
from rhubarbwinch.shared.supervisor import Supervisor
from rhubarbwinch.shared.tls import TlsFiles
from rhubarbwinch.stores.store import Store
from rhubarbwinch.stores.tracedstore import TracedStore

DRAIN_CHECK_MS = 20
LEAVING_PROPAGATION_MS = 500
FINAL_EVENTS_WAIT_MS = 200
CLOSE_TIMEOUT_S = 5.0
MAX_HEADER_BYTES = 32 << 10


class Daemon:
    """The components that all daemons share, run under a supervisor.

    Args:
        role: The program's role.
        settings: The program's settings.
        dependencies: The program's dependencies; None to build those of a
            process from the settings.
    """

    def __init__(
        self,
        role: Role,
        settings: Settings,
        dependencies: Dependencies | None = None,
    ) -> None:
        dependencies = dependencies or make_dependencies(settings)
        self.settings = settings
        self.clock = dependencies.clock
        self.incarnation = dependencies.incarnation
        self.metrics = Metrics(settings.statsd, role)
        self.store: Store = TracedStore(dependencies.store)
        self.drain = DrainState()
        self.links = dependencies.links
        self.server = dependencies.server
        self._gossip_links = dependencies.gossip_links
        self._is_embedded = dependencies.is_embedded
        rng = random.Random(self.incarnation)
        me = Member(
            settings.name,
            role,
            settings.data_center,
            settings.region,
            self.incarnation,
            settings.link,
            settings.http,
            version=self.clock.wall(),
        )
        self.members = Members(me)
        self.registration = Registration(
            self.store, self.members, self.clock, settings.lease_ms
        )
        self.gossip = Gossip(
            self._gossip_links,
            self.server,
            self.members,
            self.clock,
            rng,
            settings.peers,
            self.registration.holds_lease,
        )
        self.config = ConfigReplica(
            self.store,
            self.clock,
            self.members,
            Distribution(self._gossip_links, self.server, self.members, rng),
            settings.peers,
        )
        self.gossip.on_newer_generation(self.config.observe_generation)
        self.config.on_change(
            lambda snapshot: self.gossip.set_generation(snapshot.generation)
        )
        self.leaving = LeavingVms(self.gossip, self.clock)
        self.config.on_change(self.leaving.configure)
        self.leaving.on_change(self._update_state)
        self.config.on_change(
            lambda snapshot: self.metrics.gauge(
                metrics.GENERATION, snapshot.generation
            )
        )
        self._supervisor = Supervisor(settings.name, self.clock)
        self._shutdown = anyio.Event()
        self._http_closed = anyio.Event()
        # A program without an HTTP interface has no connections to close.
        self._http_closed.set()

    def add(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Adds a task to the supervisor tree; call it before `run`."""
        self._supervisor.add(name, run)

    def serve_http(self, app: App, tls: TlsFiles | None = None) -> None:
        """Adds the HTTP interface with the probes; call it before `run`."""
        Probes(self.config, self.drain).add_to(app)
        if self._is_embedded:
            return
        server_config = Config()
        server_config.bind = [self.settings.http]
        server_config.accesslog = None
        server_config.errorlog = None
        server_config.h11_max_incomplete_size = MAX_HEADER_BYTES
        server_config.keep_alive_timeout = 75
        if tls is not None:
            tls.apply_to(server_config)

        server = HttpServer(app, server_config)
        self._http_closed = anyio.Event()

        async def run() -> None:
            await server.run(self._shutdown)
            self._http_closed.set()

        self.add("http", run)

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then drains and returns.

        Raises:
            RestartLimitError: A task failed too often.
        """
        self.add("link-server", self.server.run)
        self.add("links", self.links.run)
        self.add("gossip-links", self._gossip_links.run)
        self.add("gossip", self.gossip.run)
        self.add("leaving", self.leaving.run)
        self.add("registration", self.registration.run)
        self.add("follower", self.config.run)
        try:
            async with anyio.create_task_group() as tasks:
                if not self._is_embedded:
                    tasks.start_soon(self._watch_signals, tasks)
                events.STARTED.log(name=self.settings.name)
                await self._supervisor.run()
                tasks.cancel_scope.cancel()
        except* Exception as group:
            # The task group wraps the tree's exception in an exception group.
            raise group.exceptions[0] from None
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(2):
                await self._deregister()
        events.STOPPED.log(name=self.settings.name)

    async def _deregister(self) -> None:
        try:
            await self.registration.close()
        except StoreError as error:
            events.STORE_DOWN.log(error=str(error))
        await self.store.close()

    async def _watch_signals(self, tasks: anyio.abc.TaskGroup) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                break
            # The receiver stays open, so that a second signal does not abort
            # the requests that are still open.
            await self.shut_down()
        tasks.cancel_scope.cancel()

    async def shut_down(self) -> None:
        """Stops accepting work and drains, then closes the HTTP interface.

        The wait for open requests ends at the drain limit.
        """
        events.DRAINING.log(name=self.settings.name)
        self.drain.started = True
        self._set_state(MemberState.LEAVING)
        end = self.clock.now() + self.settings.drain_ms
        # During this wait all members learn that this one is leaving. Callers
        # that still use this address are refused with a list of other entries
        # instead of failing to connect.
        await self.clock.sleep(
            min(self.settings.drain_ms, LEAVING_PROPAGATION_MS)
        )
        while self.drain.open_count() and self.clock.now() < end:
            await self.clock.sleep(DRAIN_CHECK_MS)
        if self.drain.open_count():
            events.DRAIN_LIMIT.log(open=self.drain.open_count())
            self.drain.limit.set()
            await self.clock.sleep(FINAL_EVENTS_WAIT_MS)
        self._shutdown.set()
        await self.gossip.announce_shutdown()
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            await self._http_closed.wait()

    def _update_state(self) -> None:
        """Sets this member's state by the leaving notices of its VM."""
        host = netaddress.parse_address(self.settings.link)[0]
        is_leaving = host in self.leaving.hosts or self.drain.started
        self._set_state(
            MemberState.LEAVING if is_leaving else MemberState.SERVING
        )

    def _set_state(self, state: MemberState) -> None:
        if state is self.members.me.state:
            return
        self.members.set_state(state)
        self.gossip.announce()
        self.registration.renew_now()
