"""The deployment of a seeded run: entries and brokers in one process."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import orjson

from lab.seeded.endpoints import EndpointSet, SeededEndpoints
from lab.seeded.links import SeededNetwork
from lab.seeded.records import RunRecords
from rhubarbwinch.programs.broker import Broker
from rhubarbwinch.programs.config import BrokerSettings, EntrySettings
from rhubarbwinch.programs.dependencies import Dependencies
from rhubarbwinch.programs.entry import Entry
from rhubarbwinch.records import acceptedconfig
from rhubarbwinch.records.acceptedconfig import Head
from rhubarbwinch.records.apikeys import hash_key
from rhubarbwinch.records.records import Record
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.exceptions import StoreUnavailable
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.memstore import MemoryStore
from rhubarbwinch.stores.store import Change, KeyValue, Listing, SwapResult

API_KEY = "acme.secret"
ENGINES = {f"10.0.1.{i}:80": f"engine-{i}" for i in range(1, 4)}
PLAIN_ENDPOINTS = {f"10.0.2.{i}:80": f"desk-{i}" for i in range(1, 3)}


def configuration_records() -> list[Record]:
    """Returns the configuration: three engines and two plain endpoints."""
    digest = hash_key(API_KEY, "00")

    def pool(target: str, endpoints: dict[str, str]) -> Record:
        listed = [{"name": n, "address": a} for a, n in endpoints.items()]
        spec = {"target": target, "data_center": "dc", "endpoints": listed}
        return Record("pool", target, 2, spec)

    return [
        Record("model", "vintner", 2),
        pool("vintner", ENGINES),
        pool("bookings", PLAIN_ENDPOINTS),
        Record("service", "chat", 2, {"kind": "generate", "target": "vintner"}),
        Record(
            "service",
            "booking",
            2,
            {
                "kind": "plain",
                "target": "bookings",
                "not_repeatable": ["POST /book"],
            },
        ),
        Record(
            "account",
            "acme",
            2,
            {
                "keys": [{"salt": "00", "digest": digest}],
                "services": ["chat", "booking"],
            },
        ),
    ]


class KillableStore:
    """The store as one program reaches it; unavailable after its kill.

    Args:
        store: The store that all programs share.
    """

    def __init__(self, store: MemoryStore) -> None:
        self.is_killed = False
        self._store = store

    async def get(self, key: str) -> KeyValue | None:
        """Returns the entry of `key`, or None."""
        self._check_not_killed()
        return await self._store.get(key)

    async def scan(self, prefix: str) -> Listing:
        """Returns all entries whose keys start with `prefix`."""
        self._check_not_killed()
        return await self._store.scan(prefix)

    async def swap(
        self, key: str, expected: int, value: bytes, lease: int = 0
    ) -> SwapResult:
        """Writes `value` if the key's revision is `expected`."""
        self._check_not_killed()
        return await self._store.swap(key, expected, value, lease)

    async def delete(self, key: str, expected: int) -> SwapResult:
        """Deletes the key if its revision is `expected`."""
        self._check_not_killed()
        return await self._store.delete(key, expected)

    async def grant_lease(self, ttl_ms: int) -> int:
        """Returns the id of a new lease."""
        self._check_not_killed()
        return await self._store.grant_lease(ttl_ms)

    async def renew_lease(self, lease: int) -> int:
        """Renews a lease and returns the time left."""
        self._check_not_killed()
        return await self._store.renew_lease(lease)

    async def revoke_lease(self, lease: int) -> None:
        """Revokes a lease."""
        self._check_not_killed()
        await self._store.revoke_lease(lease)

    async def watch(self, prefix: str, after: int) -> AsyncIterator[Change]:
        """Yields every change under `prefix`."""
        self._check_not_killed()
        async for change in self._store.watch(prefix, after):
            yield change

    async def close(self) -> None:
        """Does nothing; there are no connections."""

    def _check_not_killed(self) -> None:
        if self.is_killed:
            raise StoreUnavailable("the program was killed")


class Program:
    """An entry or a broker that can be killed.

    Args:
        build: Builds it from its dependencies and its endpoint client.
        dependencies: Its dependencies, such as the clock, store and links.
        store: Its view of the store, which a kill makes unavailable.
        endpoints: Its endpoint client, which a kill disables.
        link: Its link address for peers.
    """

    def __init__(
        self,
        build: Callable[[Dependencies, SeededEndpoints], Entry | Broker],
        dependencies: Dependencies,
        store: KillableStore,
        endpoints: SeededEndpoints,
        link: str,
    ) -> None:
        self.daemon = build(dependencies, endpoints)
        self.link = link
        self.is_killed = False
        self._store = store
        self._endpoints = endpoints
        self._scopes: list[anyio.CancelScope] = []

    async def run(self) -> None:
        """Runs the program until it is killed."""
        await self.run_until_killed(self.daemon.run)

    async def run_until_killed(
        self, work: Callable[[], Awaitable[Any]]
    ) -> None:
        """Awaits `work`, which is cancelled when the program is killed."""
        with anyio.CancelScope() as scope:
            self._scopes.append(scope)
            try:
                await work()
            finally:
                self._scopes.remove(scope)

    def kill(self) -> None:
        """Cancels all work; later attempts to reach the outside fail."""
        self.is_killed = True
        self._store.is_killed = True
        self._endpoints.is_killed = True
        for scope in list(self._scopes):
            scope.cancel()


class SimulatedDeployment:
    """The programs, the store, the network and the endpoints of a run.

    Args:
        seed: The seed of the random number generator.
        tasks: Runs the programs.
    """

    def __init__(self, seed: int, tasks: anyio.abc.TaskGroup) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.network = SeededNetwork(self.clock, self.rng, tasks)
        self.records = RunRecords()
        self.endpoint_set = EndpointSet(
            self.clock, self.rng, self.records, ENGINES | PLAIN_ENDPOINTS
        )
        self.entries: dict[str, Program] = {}
        self.brokers: dict[str, Program] = {}
        self._tasks = tasks
        self._start_count = 0

    async def publish_configuration(self) -> None:
        """Writes the accepted configuration to the store."""
        chunks = acceptedconfig.pack_chunks(configuration_records())
        names = [
            await acceptedconfig.write_chunk(self.store, c) for c in chunks
        ]
        head = Head(1, names)
        await self.store.swap(keys.ACCEPTED_HEAD, 0, head.to_bytes())

    def start_entry(self, name: str) -> None:
        """Starts an entry, or restarts it after a kill."""
        settings = EntrySettings(
            name=name, link=f"{name}:1", http="", store="", stream_secret="s"
        )

        def build(
            dependencies: Dependencies, endpoints: SeededEndpoints
        ) -> Entry:
            return Entry(settings, dependencies, endpoints)

        self.entries[name] = self._start(build, settings.link)

    def start_broker(self, name: str) -> None:
        """Starts a broker, or restarts it after a kill."""
        settings = BrokerSettings(
            name=name, link=f"{name}:1", http="", store=""
        )

        def build(
            dependencies: Dependencies, endpoints: SeededEndpoints
        ) -> Broker:
            return Broker(settings, dependencies, endpoints)

        self.brokers[name] = self._start(build, settings.link)

    def disconnect(self, program: Program) -> None:
        """Cuts off a program from its peers."""
        self.network.get_node(program.link).is_cut_off = True

    def reconnect(self, program: Program) -> None:
        """Reconnects a program to its peers."""
        self.network.get_node(program.link).is_cut_off = False

    def kill(self, program: Program) -> None:
        """Cuts off a program from its peers and kills it."""
        self.disconnect(program)
        program.kill()

    def _start(
        self,
        build: Callable[[Dependencies, SeededEndpoints], Entry | Broker],
        link: str,
    ) -> Program:
        self._start_count += 1
        node = self.network.add_node(link)
        store = KillableStore(self.store)
        dependencies = Dependencies(
            clock=self.clock,
            store=store,
            links=node,
            gossip_links=node,
            server=node,
            incarnation=self._start_count,
            is_embedded=True,
        )
        endpoints = SeededEndpoints(self.endpoint_set)
        program = Program(build, dependencies, store, endpoints, link)
        self._tasks.start_soon(program.run)
        return program


def completion_body(marker: str, stream: bool) -> bytes:
    """Returns the body of a generation request."""
    data = {"model": "chat", "prompt": marker, "stream": stream}
    return orjson.dumps(data)
