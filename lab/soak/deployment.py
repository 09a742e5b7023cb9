"""The deployment under test: stand-ins, proxies and gateway processes."""

import pathlib
import random
import signal
import socket
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

import anyio
import anyio.abc
import attrs

from lab.processes import Processes, free_address, free_ports
from lab.soak.engines import EngineContext, SoakEngine
from lab.soak.layout import (
    COLD_OVERAGE,
    COLD_PER_S,
    COLD_START_S,
    ENGINE_SERVICE,
    EVACUATE_MS,
    PLAIN_SERVICE,
    Layout,
)
from lab.soak.proxy import LoopbackProxy
from lab.soak.records import (
    ColdPeriod,
    Disturbance,
    Evacuation,
    Outage,
    RequestKind,
    RunRecords,
)
from lab.standins import cutgateway, platformfiles
from lab.standins.platformstore import PlatformStoreServer
from rhubarbwinch.shared.clock import Clock, SystemClock

# The ports of a gateway: one for each listener, and its internal ports.
PORTS = 16
GRACE_S = 8
# The tolerance for the exit of a gateway after its grace period.
EXIT_TOLERANCE_S = 2.0
# Before the interpreter runs the first line of the program, signals have their
# default effect. On a busy machine, the interpreter starts within this time.
INTERPRETER_START_MS = 1_000
POLL_S = 0.02
# How long an engine is gone that a request has crashed.
CRASH_S = 0.8
# How often a cold engine renews its registration.
COLD_RENEWAL_S = 0.5
ENGINE_ID_PREFIX = "i-"
# Software versions of engines, which serve side by side.
VERSIONS = ("v1", "v2")


@attrs.define
class Gateway:
    """A gateway process and its proxies.

    Attributes:
        name: The name of the gateway.
        ip: Its IP address.
        store: The proxy between the gateway and the store.
        front: The proxy between callers and the gateway.
        is_told_to_stop: Whether it was sent SIGTERM or SIGKILL.
        is_killed: Whether it was sent SIGKILL.
        was_starting: Whether it got SIGTERM before it listened.
        started_ms: When its process was started.
        is_restarting: Whether a fault is about to restart it.
        was_paused: Whether it was sent SIGSTOP since its start.
    """

    name: str
    ip: str
    store: LoopbackProxy
    front: LoopbackProxy
    is_told_to_stop: bool = False
    is_killed: bool = False
    was_starting: bool = False
    started_ms: int = 0
    is_restarting: bool = False
    was_paused: bool = False


class SoakDeployment:
    """The deployment of a run, without callers and faults.

    Args:
        folder: The directory for settings files and logs.
        rng: The random number generator.
        gateways: The number of gateways.
        engines: The number of engines, and of plain endpoints.
        options: Additional command-line flags for the gateways.
        layout: The data centres, home regions and cold-start limits.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        rng: random.Random,
        gateways: int = 4,
        engines: int = 3,
        options: Sequence[str] = (),
        layout: Layout = Layout(),  # noqa: B008, it is immutable
    ) -> None:
        self.layout = layout
        self.records = RunRecords(
            regions=layout.regions,
            route_regions=layout.route_regions,
            account_regions=layout.account_regions,
        )
        self.evacuated: set[str] = set()
        self.clock: Clock = SystemClock()
        self.store = PlatformStoreServer(free_address())
        self.keys = {"a": "key-a-1", "b": "key-b-1"}
        self.version = 1
        self._folder = folder
        self._options = options
        self._first_port = free_ports(PORTS)
        self._ip_bytes = rng.randrange(10, 250), rng.randrange(1, 250)
        self._processes = Processes(folder)
        self._rng = rng
        self._engine_numbers = iter(range(1, 1_000_000))
        self.gateways = [self._new_gateway(i + 1) for i in range(gateways)]
        context = self.engine_context = EngineContext(
            {},
            {},
            self.records,
            self.clock,
            rng,
            {gateway.ip: i for i, gateway in enumerate(self.gateways)},
            on_fatal=self._handle_fatal_crash,
        )
        self._tasks: anyio.abc.TaskGroup | None = None
        self.engines = [
            self._new_engine(service, context)
            for service in (ENGINE_SERVICE, PLAIN_SERVICE)
            for _ in range(engines)
        ]
        for number, engine in enumerate(self.engines):
            engine.data_center = layout.zone(number % engines)

    def _new_gateway(self, number: int) -> Gateway:
        high, low = self._ip_bytes
        ip = f"127.{high}.{low}.{number}"
        store = LoopbackProxy(free_address(), self.store.address)
        front = LoopbackProxy(free_address(), f"{ip}:{self._first_port}")
        return Gateway(f"g{number}", ip, store, front)

    def _new_engine(self, service: str, context: EngineContext) -> SoakEngine:
        address = free_address()
        proxy = LoopbackProxy(free_address(), address)
        engine = SoakEngine(
            self.new_engine_id(), address, service, proxy, context
        )
        engine.version = self._rng.choice(VERSIONS)
        return engine

    def new_engine_id(self) -> str:
        """Returns a new id for an engine."""
        return f"{ENGINE_ID_PREFIX}{next(self._engine_numbers)}"

    @property
    def proxies(self) -> Iterator[LoopbackProxy]:
        """The proxies of all gateways and engines."""
        for gateway in self.gateways:
            yield gateway.store
            yield gateway.front
        for engine in self.engines:
            yield engine.proxy

    @property
    def fronts(self) -> dict[str, LoopbackProxy]:
        """The proxies in front of the gateways, by gateway address."""
        return {f"{g.ip}:{self._first_port}": g.front for g in self.gateways}

    @property
    def directories(self) -> list[str]:
        """The addresses of the gateways' directories."""
        return [f"{g.ip}:{self._first_port + 2}" for g in self.gateways]

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the stand-ins, the proxies and the gateways."""
        self._tasks = tasks
        tasks.start_soon(self.store.run)
        for proxy in self.proxies:
            tasks.start_soon(proxy.run)
        for engine in self.engines:
            tasks.start_soon(engine.run)
        await anyio.wait_all_tasks_blocked()
        await self.publish_configuration()
        for engine in self.engines:
            await self.register_engine(engine)
        for gateway in self.gateways:
            self.start_gateway(gateway)

    async def publish_configuration(self) -> None:
        """Writes the configuration that `version` and `keys` describe."""
        routes = [
            platformfiles.route(
                RequestKind.CALL.value, PLAIN_SERVICE, "idempotent"
            ),
            platformfiles.route(
                RequestKind.ONCE.value, PLAIN_SERVICE, "non_idempotent"
            ),
            platformfiles.route(
                RequestKind.DRAFT.value,
                ENGINE_SERVICE,
                "stream",
                target_gap_ms=180,
                sticky=True,
            ),
            platformfiles.route(
                RequestKind.RESUMABLE.value,
                ENGINE_SERVICE,
                "stream",
                target_gap_ms=180,
                sticky=True,
                resumable=True,
                max_attempts=2,
            ),
        ]
        for route in routes:
            if route["name"] in self.layout.route_regions:
                route["allowed_regions"] = self.layout.route_regions[
                    route["name"]
                ]
        engine = {
            "slots": 24,
            "kv_tokens": 34_000,
            "moves": True,
            "backups": True,
        }
        services: list[dict[str, object]] = [
            {"name": ENGINE_SERVICE, "max_connections": 100, "engine": engine},
            {"name": PLAIN_SERVICE, "max_connections": 100},
        ]
        for service in services:
            if service["name"] == self.layout.cold_service:
                service["cold_start_s"] = COLD_START_S
                service["cold_per_s"] = COLD_PER_S
        keys = {name: [key] for name, key in self.keys.items()}
        text = platformfiles.config(
            self.version, routes, services, keys, self.layout.account_regions
        )
        await self.store.put(platformfiles.CONFIG_KEY, text)

    async def register_engine(
        self, engine: SoakEngine, state: str = "ready"
    ) -> None:
        """Writes an engine's entry to the store."""
        engine.registered_state = state
        key = platformfiles.ENDPOINT_PREFIX + engine.name
        await self.store.put(key, engine.registration(state))

    async def deregister_engine(self, engine: SoakEngine) -> None:
        """Removes an engine's entry from the store."""
        engine.registered_state = ""
        await self.store.remove(platformfiles.ENDPOINT_PREFIX + engine.name)

    async def rewrite_entries(self) -> None:
        """Writes what the operator and the engines write after a restore."""
        await self.publish_configuration()
        for zone in self.layout.regions:
            key = platformfiles.EVACUATION_PREFIX + zone
            if zone in self.evacuated:
                await self.store.put(key, b"1")
            else:
                await self.store.remove(key)
        for engine in self.engines:
            if engine.registered_state:
                await self.register_engine(engine, engine.registered_state)

    async def remove_expired_entries(self) -> None:
        """Removes the entries that no engine has written since a restore."""
        written = {e.name for e in self.engines if e.registered_state}
        listing = await self.store.memory.scan(platformfiles.ENDPOINT_PREFIX)
        for entry in listing.entries:
            name = entry.key.removeprefix(platformfiles.ENDPOINT_PREFIX)
            if name.startswith(ENGINE_ID_PREFIX) and name not in written:
                await self.store.remove(entry.key)

    async def replace_engine(self, engine: SoakEngine) -> None:
        """Ends an engine; starts a new incarnation at the same address."""
        await self.deregister_engine(engine)
        # Another fault may have replaced it before.
        engine.crash()
        engine.name = self.new_engine_id()
        engine.version = self._rng.choice(VERSIONS)
        self._reset_engine(engine)
        await self.register_engine(engine)

    def _reset_engine(self, engine: SoakEngine) -> None:
        """Sets the state of a new incarnation, which is warm and reachable."""
        engine.born += 1
        engine.cold_until_ms = 0
        engine.rate_limit = None
        engine.says_leaving, engine.pause_s = False, 0.0
        engine.proxy.heal()

    async def restart_cold(
        self, engine: SoakEngine, *, keeps_id: bool, pause_s: float
    ) -> None:
        """Starts a new incarnation, which is cold if its service has that.

        Args:
            engine: The engine, which has crashed.
            keeps_id: Whether the new incarnation has the same id.
            pause_s: The time from its start to its registration.
        """
        engine.crash()
        if not keeps_id:
            await self.deregister_engine(engine)
            engine.name = self.new_engine_id()
        self._reset_engine(engine)
        name, born, start_ms = engine.name, engine.born, self.clock.now()
        if engine.service == self.layout.cold_service:
            engine.cold_until_ms = start_ms + int(1_000 * COLD_START_S)
            period = ColdPeriod(
                name,
                start_ms,
                engine.cold_until_ms,
                self.layout.max_cold_per_s,
            )
            self.records.cold_periods.append(period)
        await anyio.sleep(pause_s)
        if (engine.name, engine.born) == (name, born):
            await self.register_engine(engine)
        while engine.cold_remaining_ms:
            await anyio.sleep(COLD_RENEWAL_S)
            # Another fault may have replaced the engine.
            if (engine.name, engine.born) != (name, born):
                return
            if engine.registered_state:
                await self.register_engine(engine, engine.registered_state)

    async def evacuate(self, zone: str, duration_s: float) -> None:
        """Evacuates a data centre for a time, unless it is evacuated."""
        if zone in self.evacuated:
            return
        key = platformfiles.EVACUATION_PREFIX + zone
        self.evacuated.add(zone)
        await self.store.put(key, b"1")
        start_ms = self.clock.now()
        self.record_step(f"{zone} is evacuated")
        try:
            await anyio.sleep(duration_s)
        finally:
            self.records.evacuations.append(
                Evacuation(zone, start_ms, self.clock.now())
            )
        self.record_step(f"{zone} is no longer evacuated")
        self.evacuated.discard(zone)
        await self.store.remove(key)

    def _handle_fatal_crash(self, engine: SoakEngine) -> None:
        """Ends an engine that a request has crashed; it comes back later."""
        if engine.registered_state and engine.proxy.is_healthy:
            assert self._tasks is not None
            engine.crash()
            self._tasks.start_soon(self._restart_engine, engine)

    async def _restart_engine(self, engine: SoakEngine) -> None:
        await anyio.sleep(CRASH_S)
        await self.replace_engine(engine)

    def cut_off(self, gateway: Gateway, kind: str) -> None:
        """Cuts a gateway off from all engines; an empty kind ends that."""
        addresses = [engine.address for engine in self.engines]
        path = self._folder / f"{gateway.name}.cut"
        path.write_text("\n".join([kind, *addresses]) if kind else "")
        self.record_step(f"{gateway.name} is cut off: {kind or 'no longer'}")
        self.record_disturbance(self.gateways.index(gateway))

    def start_gateway(self, gateway: Gateway) -> None:
        """Starts a gateway's process."""
        self.write_settings(gateway)
        gateway.is_told_to_stop = gateway.is_killed = False
        gateway.was_paused = gateway.was_starting = False
        gateway.started_ms = self.clock.now()
        self.record_disturbance(self.gateways.index(gateway))
        path = self._settings_path(gateway)
        self.record_step(f"start of {gateway.name}")
        self._processes.start(
            gateway.name,
            "lab.standins.cutgateway gateway",
            "--metrics-port",
            str(self._first_port + PORTS - 1),
            *self._options,
            env={
                "RHUBARBWINCH_SETTINGS": str(path),
                cutgateway.FILE_VARIABLE: str(
                    self._folder / f"{gateway.name}.cut"
                ),
                cutgateway.SOURCE_VARIABLE: gateway.ip,
            },
        )

    def _settings_path(self, gateway: Gateway) -> pathlib.Path:
        return self._folder / f"{gateway.name}.conf"

    def write_settings(self, gateway: Gateway, memory_mb: int = 205) -> None:
        """Writes a gateway's settings file."""
        port, ip = self._first_port, gateway.ip
        fields: dict[str, object] = {}
        if self.layout.regions:
            zone = self.layout.zone(self.gateways.index(gateway))
            fields = platformfiles.region_fields(zone, self.layout.regions) | {
                "bounds__cold_overage": COLD_OVERAGE,
                "bounds__cold_slack": self.layout.cold_slack,
                "bounds__evacuate_ms": EVACUATE_MS,
            }
        text = platformfiles.settings_text(
            node=gateway.name,
            ip=ip,
            listen__front=f"{ip}:{port}",
            listen__ready=f"{ip}:{port + 1}",
            listen__directory=f"{ip}:{port + 2}",
            internal_ports=f"{port + 3},{port + PORTS - 1}",
            seeds=f"{self.gateways[0].ip}:{port}" if self.gateways else "",
            platform__address=gateway.store.address,
            limits__memory_mb=memory_mb,
            bounds__grace_s=GRACE_S,
            **fields,
        )
        self._settings_path(gateway).write_text(text)

    def record_disturbance(self, name: int | str) -> None:
        """Records the begin or end of a fault at a gateway or an engine."""
        self.records.disturbances.append(Disturbance(name, self.clock.now()))

    @contextmanager
    def record_outage(self, *names: int | str) -> Iterator[None]:
        """Records a fault at gateways, engines or the store, and its end."""
        start_ms = self.clock.now()
        try:
            yield
        finally:
            end_ms = self.clock.now()
            self.records.outages += [Outage(n, start_ms, end_ms) for n in names]

    def record_step(self, step: str) -> None:
        """Records a step of a fault."""
        self.records.faults.append(f"{self.clock.now()} {step}")

    def signal(self, gateway: Gateway, number: signal.Signals) -> None:
        """Sends a signal to a gateway if it is running."""
        if self._processes.status(gateway.name) is not None:
            return
        age_ms = self.clock.now() - gateway.started_ms
        if number is signal.SIGHUP and age_ms < INTERPRETER_START_MS:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            gateway.is_told_to_stop = True
        if number is signal.SIGTERM and not self._is_listening(gateway):
            gateway.was_starting = True
        gateway.is_killed |= number is signal.SIGKILL
        gateway.was_paused |= number is signal.SIGSTOP
        self._record_memory(gateway)
        self.record_step(f"{number.name} to {gateway.name}")
        self.record_disturbance(self.gateways.index(gateway))
        self._processes.signal(gateway.name, number)

    def _is_listening(self, gateway: Gateway) -> bool:
        with socket.socket() as probe:
            return not probe.connect_ex((gateway.ip, self._first_port))

    async def restart_after_exit(
        self, gateway: Gateway, pause_s: float
    ) -> None:
        """Restarts a gateway that was sent a stop signal, after its exit."""
        if gateway.is_restarting or not gateway.is_told_to_stop:
            # Another fault has restarted this gateway or is about to.
            return
        gateway.is_restarting = True
        try:
            await self._wait_for_exit(gateway)
            await anyio.sleep(pause_s)
            self.start_gateway(gateway)
        finally:
            gateway.is_restarting = False

    async def _wait_for_exit(self, gateway: Gateway) -> None:
        with anyio.move_on_after(GRACE_S + EXIT_TOLERANCE_S) as scope:
            while self._processes.status(gateway.name) is None:
                await anyio.sleep(POLL_S)
        if scope.cancelled_caught:
            if not gateway.was_paused:
                self.records.overdue_gateways.append(gateway.name)
            gateway.is_killed = True
            self._processes.signal(gateway.name, signal.SIGKILL)
        self._record_exit(gateway)

    def _record_exit(self, gateway: Gateway) -> None:
        status = self._processes.status(gateway.name)
        expected = {0, -signal.SIGKILL} if gateway.is_killed else {0}
        if gateway.was_starting:
            # Without its signal handlers, the program ends by the signal.
            expected.add(-signal.SIGTERM)
        if status is not None and status not in expected:
            self.records.unexpected_exits.append(
                f"{gateway.name}: status {status}"
            )

    def check_processes(self) -> None:
        """Records and restarts gateways that exited unexpectedly."""
        for gateway in self.gateways:
            self._record_memory(gateway)
            if gateway.is_restarting or gateway.is_told_to_stop:
                continue
            status = self._processes.status(gateway.name)
            if status is not None:
                line = f"{gateway.name} exited unexpectedly: status {status}"
                self.records.unexpected_exits.append(line)
                self.start_gateway(gateway)

    def _record_memory(self, gateway: Gateway) -> None:
        peak = self._processes.peak_mb(gateway.name)
        self.records.peak_mb = max(self.records.peak_mb, peak)

    def cpu_s(self, gateway: Gateway) -> float:
        """Returns the CPU time that a gateway has used."""
        return self._processes.cpu_s(gateway.name)

    def stop(self) -> None:
        """Stops all processes."""
        self._processes.__exit__()
