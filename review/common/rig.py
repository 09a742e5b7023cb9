"""Stand-ins for the platform's store, engines and clients, on loopback.

Standard library only. The gateways under test are separate processes that are
started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "h.example"
KEY = "key-of-tenant-a"
TENANT = "tenant-a"
GRACE_S = 8
# Bounds of cascade-cellar-grown that differ from those of kielich-router.
CASCADE_CELLAR_BOUNDS = {
    "stable_window_ms": 4000,
    "ack_ms": 6000,
    "drain_ms": 3000,
    "config_apply_ms": 3000,
    "budget_extra": 210,
    "recover_s": 15,
    "pass_ms": 200,
    "cold_overage": 1.5,
    "cold_slack": 5,
    "evacuate_ms": 5000,
}


def now():
    """Returns monotonic seconds."""
    return time.monotonic()


def address_of(server):
    """Returns the address of a server, `a.b.c.d:port`."""
    ip, port = server.sockets[0].getsockname()[:2]
    return f"{ip}:{port}"


class Record:
    """Writes what happened to `record.txt`, and to the terminal.

    Args:
        folder: The folder of the case.
    """

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._start = now()

    def line(self, text):
        """Writes one line with the seconds since the start."""
        row = f"{now() - self._start:8.3f} {text}"
        print(row, file=self._file, flush=True)
        print(row, flush=True)


async def read_head(reader):
    """Returns the first line and the headers (names in lower case)."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the body that the headers describe."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def head(status, headers):
    """Returns an encoded response head."""
    rows = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in headers.items())]
    return ("\r\n".join(rows) + "\r\n\r\n").encode("latin-1")


class Store:
    """The platform's store: items, leases, history and watches."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 100
        self.leases = {}
        self._changed = asyncio.Event()
        self._connections = set()
        self.address = ""

    async def start(self, ip="127.0.0.1"):
        """Listens on a free port."""
        server = await asyncio.start_server(self._serve, ip, 0)
        self.address = address_of(server)
        asyncio.get_running_loop().create_task(self._expire())

    async def stop(self):
        """Closes the connections that are still open."""
        for writer in list(self._connections):
            writer.transport.abort()
        await asyncio.sleep(0.05)

    def put(self, key, value, lease=0):
        """Writes an item, as the operator or an engine does."""
        self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._add(dict(item))
        return self.revision

    def delete(self, key):
        """Removes an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add(
                {"key": key, "revision": self.revision, "tombstone": True}
            )

    def _add(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            for lease, (_, end) in list(self.leases.items()):
                if now() > end:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.delete(key)

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, OSError
        ):
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                params = {k: v[0] for k, v in parse_qs(query).items()}
                status, reply = await self._answer(
                    method, path, params, json.loads(body or b"{}")
                )
                data = json.dumps(reply).encode()
                fields = {
                    "Content-Type": "application/json",
                    "Store-Era": 1,
                    "Content-Length": len(data),
                }
                writer.write(head(status, fields) + data)
                await writer.drain()
        self._connections.discard(writer)
        writer.close()

    async def _answer(self, method, path, params, body):
        if path == "/kv-key":
            item = self.items.get(params["key"])
            return (200, item | {"at": self.revision}) if item else (404, {})
        if path == "/kv-range":
            rows = sorted(
                (
                    i
                    for k, i in self.items.items()
                    if k.startswith(params.get("prefix", ""))
                    and k > params.get("after", "")
                ),
                key=lambda i: i["key"],
            )
            return 200, {
                "items": rows[:400],
                "has_more": len(rows) > 400,
                "at": self.revision,
            }
        if path == "/kv-watch":
            return await self._watch(params)
        if path == "/kv-txn":
            return self._transact(body)
        name, _, rest = path.strip("/").partition("/")
        if name == "kv-lease":
            lease = max(self.leases, default=0) + 1
            ttl = body["ttl_ms"]
            self.leases[lease] = (ttl, now() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if name == "kv-keep":
            known = self.leases.get(int(rest))
            if known is None:
                return 404, {}
            self.leases[int(rest)] = (known[0], now() + known[0] / 1000)
            return 200, {"ttl_ms": known[0]}
        if name == "kv-lease-end":
            self._end_lease(int(rest))
            return 200, {}
        return 404, {}

    async def _watch(self, params):
        after, prefix = int(params["after"]), params.get("prefix", "")
        if after > self.revision:
            return 410, {}
        end = now() + int(params["wait_ms"]) / 1000
        while True:
            events = [
                e
                for e in self.history
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            if events or now() >= end:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), end - now())

    def _transact(self, body):
        for row in body.get("expected_rev", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [
                    self.items.get(r["key"]) or r | {"revision": 0}
                    for r in body["expected_rev"]
                ]
                return 412, {"items": found}
        for write in body.get("writes", []):
            lease = write.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
            self.put(write["key"], base64.b64decode(write["value"]), lease)
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}


class Request:
    """A request that an engine has received."""

    def __init__(self, method, target, headers, body, port):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.port = port

    @property
    def id(self):
        """The id of the client's attempt."""
        return self.headers.get("attempt-id", "")


class Engine:
    """An engine or an application server.

    Args:
        name: The id in the store.
        service: The service.
        handle: Called with the engine, a request and the writer.
        zone: The zone.
        slots: The slots that it registers.
    """

    def __init__(self, name, service, handle, zone="z1", slots=24):
        self.name = name
        self.service = service
        self.handle = handle
        self.zone = zone
        self.slots = slots
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.runs = []
        self.cold_remaining_ms = 0
        self.report = {}
        self.address = ""
        self.connections = set()

    async def start(self, ip="127.0.0.1"):
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = address_of(self._server)

    def entry(self):
        """Returns the store entry."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "1",
                "slots": self.slots,
                "state": self.state,
                "cold_remaining_ms": self.cold_remaining_ms,
                "sequence": self.sequence,
                "born": self.born,
            }
        ).encode()

    def register(self, store):
        """Writes the entry to the store."""
        store.put("servers/" + self.name, self.entry())

    def signed(self, request, **more):
        """Returns the headers of an answer of the engine's own."""
        return {
            "Attempt-Id": request.id,
            "Server-Signature": f"sig.{self.name}.{request.id}",
        } | {n.replace("_", "-"): v for n, v in more.items()}

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, OSError
        ):
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                port = writer.get_extra_info("peername")[1]
                request = Request(method, target, headers, body, port)
                if target in ("/report", "/health"):
                    data = json.dumps({"state": self.state} | self.report)
                    writer.write(
                        head(
                            200,
                            {
                                "Content-Length": len(data),
                                "Instance-Id": self.name,
                            },
                        )
                        + data.encode()
                    )
                elif headers.get("expect-instance", self.name) != self.name:
                    writer.write(
                        head(
                            421,
                            {
                                "Attempt-Id": request.id,
                                "Not-Executed": 1,
                                "Content-Length": 0,
                            },
                        )
                    )
                else:
                    await self.handle(self, request, writer)
                await writer.drain()
        self.connections.discard(writer)
        writer.close()


def config(version, routes, services, tenants=None, **limits):
    """Returns a configuration."""
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 5000,
                "idle_timeout_ms": 20000,
            }
            | limits,
            "tenants": tenants or [{"name": TENANT, "api_keys": [KEY]}],
        }
    ).encode()


def route(name, service, kind, **fields):
    """Returns a route under `/NAME/`."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 6000,
        "target_latency_ms": 1500,
        "max_attempts": 1,
        "priority": 1,
    } | fields


class Gateways:
    """Starts gateways with the command of the deploy file.

    Args:
        store: The store's address.
        folder: A temporary folder.
        memory_mb: The memory limit in the settings.
        bounds: Bounds that differ from those of kielich-router.
    """

    FIRST_PORTS = range(21000, 30000, 20)

    def __init__(self, store, folder, memory_mb=205, bounds=None):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._run = deploy["roles"]["gateway"]["run"].split()
        self._store = store
        self._folder = folder
        self._memory_mb = memory_mb
        self._bounds = {
            "reuse_after_s": 2,
            "stable_window_ms": 3000,
            "ack_ms": 4000,
            "drain_ms": 2000,
            "grace_s": GRACE_S,
            "loss_slack_ms": 200,
            "config_apply_ms": 2000,
            "rollback_slack_ms": 250,
            "retry_budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_extra": 56,
            "recover_s": 12,
            "pass_ms": 120,
            "ttl_max_s": 5,
        } | (bounds or {})
        self._port = self._free_port()
        self.processes = {}
        self._count = 0

    def _free_port(self):
        for first in random.sample(list(self.FIRST_PORTS), 60):
            try:
                for port in range(first, first + 20):
                    with socket.socket() as probe:
                        probe.bind(("127.0.0.1", port))
                return first
            except OSError:
                continue
        sys.exit(2)

    def front(self, ip):
        """Returns the address for clients."""
        return ip, self._port

    def ready(self, ip):
        """Returns the address for readiness checks."""
        return ip, self._port + 1

    def settings(self, ip, zone="z1"):
        """Returns the text of a settings file."""
        p = self._port
        return "\n".join(
            [
                f"node=front-{ip}",
                "role=gateway",
                "machine_class=front",
                "serves=front,control_plane,directory",
                f"ip={ip}",
                f"zone={zone}",
                "region=r1",
                "zones.z1=r1",
                "zones.z2=r1",
                f"listen.front={ip}:{p}",
                f"listen.ready={ip}:{p + 1}",
                f"listen.directory={ip}:{p + 2}",
                f"listen.control={ip}:{p + 3}",
                f"internal_ports={p + 4},{p + 12}",
                f"seeds=127.0.0.1:{p + 3}",
                "bootstrap=true",
                "limits.cpu_share=1",
                "limits.cores=1",
                f"limits.memory_mb={self._memory_mb}",
                "limits.max_fds=6150",
                "limits.link_mbps=1500.0",
                "limits.disk_mb=0",
                "discovery=platform",
                "entry=directory",
                "heartbeat_ms=1200",
                "contracts=base,drain,config,cost,retry,recover,engine,stream,"
                "tenants,platform",
                *(f"bounds.{n}={v}" for n, v in self._bounds.items()),
                f"platform.address={self._store}",
                "platform.form=kv",
                "platform.writes_per_s=400",
                "platform.reads_per_s=2000",
                "platform.history_s=20",
                "platform.value_bytes=1048576",
                "platform.ttl_min_ms=1000",
                "",
            ]
        )

    def start(self, ip, zone="z1"):
        """Starts a gateway's process."""
        path = self._folder / f"{ip}.conf"
        path.write_text(self.settings(ip, zone))
        words = [sys.executable, *self._run[1:]]
        words[words.index("--metrics-port") + 1] = str(self._port + 15)
        env = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "RHUBARBWINCH_SETTINGS": str(path),
        }
        self._count += 1
        log = open(self._folder / f"{ip}.{self._count}.log", "wb")
        self.processes[ip] = subprocess.Popen(
            words, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        return self.processes[ip]

    def change_settings(self, ip):
        """Writes the settings file of a gateway anew, with other seeds."""
        path = self._folder / f"{ip}.conf"
        text = path.read_text()
        path.write_text(text.replace("seeds=", "seeds=127.0.0.9:1,"))

    async def wait_ready(self, *ips, limit_s=20):
        """Waits until gateways are ready."""
        end = now() + limit_s
        for ip in ips:
            while True:
                if self.processes[ip].poll() is not None or now() > end:
                    raise CannotRunError(f"gateway {ip} did not become ready")
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    reader, writer = await asyncio.open_connection(
                        *self.ready(ip)
                    )
                    writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                    line, _ = await read_head(reader)
                    writer.close()
                    if " 200" in line:
                        break
                await asyncio.sleep(0.1)

    def logs(self):
        """Returns the paths of the log files."""
        return sorted(self._folder.glob("*.log"))

    def stop(self):
        """Ends the processes that were started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


class CannotRunError(Exception):
    """The case could not be set up."""


def request_bytes(method, path, request_id, body=b"", **headers):
    """Returns an encoded request of a client."""
    fields = {
        "Host": HOST,
        "Attempt-Id": request_id,
        "Authorization": f"Bearer {KEY}",
        "Deadline-Ms": 6000,
    } | {n.replace("_", "-"): v for n, v in headers.items()}
    if body or method == "POST":
        fields["Content-Length"] = len(body)
    rows = [f"{method} {path} HTTP/1.1"]
    rows += [f"{n}: {v}" for n, v in fields.items() if v is not None]
    return ("\r\n".join(rows) + "\r\n\r\n").encode("latin-1") + body


def main(folder, run, limit_s=110, **gateway_options):
    """Runs a case; exits with 0, 1 or 2.

    Args:
        folder: The folder of the case.
        run: Called with the record, the store, the gateways and whether the
            disruption is on; returns whether the rule held.
        limit_s: The time limit.
        gateway_options: Further arguments of `Gateways`.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def body(temporary):
        store = Store()
        await store.start()
        gateways = Gateways(store.address, temporary, **gateway_options)
        try:
            async with asyncio.timeout(limit_s):
                return await run(record, store, gateways, has_trouble)
        finally:
            gateways.stop()
            await store.stop()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for path in gateways.logs():
                    (pathlib.Path(keep) / path.name).write_bytes(
                        path.read_bytes()
                    )

    def end(number, frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, end)
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        try:
            held = asyncio.run(body(pathlib.Path(name)))
        except (Exception, KeyboardInterrupt) as error:
            # Only a broken rule may lead to the status 1.
            record.line(f"the case could not run: {error!r}")
            held = None
    if held is not None:
        record.line("the rule held" if held else "the rule was broken")
    # Ends without the warnings of connections that are still open.
    os._exit(2 if held is None else int(not held))
