"""Runs gateway processes with stand-ins of the platform."""

import json
import pathlib
import tempfile
from contextlib import asynccontextmanager

import anyio
import httpx

from lab.processes import free_ports
from lab.standins import platformfiles
from lab.standins.platformengine import ScriptedEngine
from lab.standins.platformstore import PlatformStoreServer
from tests.helpers import Processes, free_address

# The part of a configuration that describes the engines of a service.
ENGINE = {"slots": 24, "kv_tokens": 34_000, "moves": True, "backups": True}


def config(
    version=1, keys=("k1",), engine=None, kind="idempotent", timeout_ms=5_000
):
    """Returns a configuration with a plain and a resumable route."""
    routes = [
        platformfiles.route("r", "svc", kind, timeout_ms=timeout_ms),
        platformfiles.route(
            "s",
            "svc",
            "stream",
            timeout_ms=20_000,
            sticky=True,
            resumable=True,
            max_attempts=2,
        ),
    ]
    services = [{"name": "svc", "max_connections": 100, "engine": engine}]
    return platformfiles.config(version, routes, services, {"t1": keys})


class Deployment:
    """Several gateways, a store and one or more endpoints of a service.

    Args:
        folder: The directory for settings files and logs.
        endpoints: The number of endpoints.
    """

    def __init__(self, folder, endpoints=1):
        self.folder = pathlib.Path(folder)
        self.processes = Processes(self.folder)
        self.store = PlatformStoreServer(free_address())
        self.endpoints = [
            ScriptedEngine(f"i-{i}", free_address(), "svc")
            for i in range(1, endpoints + 1)
        ]
        self.engine = self.endpoints[0]
        base = free_ports(16)
        self.ports = {
            "port": base,
            "ready": base + 1,
            "directory": base + 2,
            "link": base + 3,
            "last": base + 15,
        }

    def start(self, number, program="rhubarbwinch gateway", **env):
        """Starts a gateway on an address of its own."""
        ip = f"127.0.7.{number}"
        ports = self.ports
        path = self.folder / f"g{number}.conf"
        text = platformfiles.settings_text(
            node=f"g{number}",
            ip=ip,
            listen__front=f"{ip}:{ports['port']}",
            listen__ready=f"{ip}:{ports['ready']}",
            listen__directory=f"{ip}:{ports['directory']}",
            internal_ports=f"{ports['link']},{ports['last']}",
            seeds=f"127.0.7.1:{ports['port']}",
            platform__address=self.store.address,
        )
        path.write_text(text)
        self.processes.start(
            f"g{number}",
            program,
            "--metrics-port",
            str(self.ports["last"]),
            env={"RHUBARBWINCH_SETTINGS": str(path)} | env,
        )

    def url(self, number, service="port", path="/"):
        """Returns the URL of one of a gateway's addresses."""
        return f"http://127.0.7.{number}:{self.ports[service]}{path}"

    async def get(self, url, **headers):
        """Returns a response, or None if the connection fails."""
        try:
            async with httpx.AsyncClient(timeout=20) as client:
                return await client.get(url, headers=headers)
        except httpx.TransportError:
            return None

    async def call(
        self, number, request_id, key="k1", path="/r/x", last_event_id=None
    ):
        """Sends a caller's request."""
        headers = {"Attempt-Id": request_id, "Deadline-Ms": "15000"}
        if last_event_id is not None:
            headers["Last-Event-Id"] = last_event_id
        return await self.get(
            self.url(number, path=path),
            Host="h.example",
            Authorization=f"Bearer {key}",
            **headers,
        )

    async def register(self, endpoint, state="ready"):
        """Writes the entry of an endpoint to the store."""
        await self.store.put(
            platformfiles.ENDPOINT_PREFIX + endpoint.name,
            endpoint.registration(state),
        )

    async def evacuate(self, data_center, is_evacuated=True):
        """Has the operator evacuate a data centre, or take that back."""
        key = platformfiles.EVACUATION_PREFIX + data_center
        if is_evacuated:
            await self.store.put(key, b"{}")
        else:
            await self.store.remove(key)

    async def until(self, check):
        """Waits until an async check returns true; at most 20 s."""
        with anyio.fail_after(20):
            while not await check():
                await anyio.sleep(0.02)

    async def is_ready(self, number):
        """Returns whether a gateway reports that it is ready."""
        found = await self.get(self.url(number, "ready", "/readiness"))
        return found is not None and found.status_code == httpx.codes.OK

    def events(self, number):
        """Returns the events that a gateway has logged."""
        text = (self.folder / f"g{number}.log").read_text()
        return [json.loads(x) for x in text.splitlines() if x.startswith("{")]


@asynccontextmanager
async def deployment(endpoints=1):
    """Runs the stand-ins. The test starts the gateways."""
    with tempfile.TemporaryDirectory() as folder:
        found = Deployment(folder, endpoints)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(found.store.run)
            for endpoint in found.endpoints:
                tasks.start_soon(endpoint.run)
            await anyio.wait_all_tasks_blocked()
            await found.store.put(platformfiles.CONFIG_KEY, config())
            for endpoint in found.endpoints:
                await found.register(endpoint)
            with found.processes:
                yield found
            tasks.cancel_scope.cancel()
