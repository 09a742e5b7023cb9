"""Clients that pause in their reading lose the rest of their answers."""

import asyncio
import pathlib
import signal
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import rig

CLIENTS = 4
EVENTS = 440
EVENT_S = 0.028
EVENT_BYTES = 320
# The clients read the beginning of their answers, and the rest after a pause.
FIRST_BYTES = 20_000
PAUSE_S = 12.0
CLIENT_BUFFER_BYTES = 4096
CLIENT_SEGMENT_BYTES = 536
DEADLINE_MS = 39000


class Generator:
    """Generates answers; never breaks one off."""

    def __init__(self, record):
        self._record = record

    async def __call__(self, engine, request, writer):
        """Answers one request."""
        engine.runs.append(request.id)
        writer.write(
            rig.head(
                200,
                engine.signed(
                    request,
                    Transfer_Encoding="chunked",
                    Content_Type="text/event-stream",
                ),
            )
        )
        try:
            await self._generate(writer)
        except ConnectionError as error:
            self._record.line(
                f"{engine.name}: the gateway has closed the connection of"
                f" {request.id}: {error!r}"
            )
            raise
        self._record.line(f"{engine.name} has ended {request.id} well")

    async def _generate(self, writer):
        began = rig.now()
        for number in range(1, EVENTS + 1):
            start = f"id: {number}\ndata: ".encode()
            event = start + b"x" * (EVENT_BYTES - len(start) - 2) + b"\n\n"
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(max(0, began + number * EVENT_S - rig.now()))
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def send(record, address, name, pause_s):
    """Sends a request and reads the answer; returns whether it is whole."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, CLIENT_SEGMENT_BYTES)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, address)
    await loop.sock_sendall(
        sock,
        rig.request_bytes(
            "POST",
            "/draft/1",
            name,
            b"p" * 3000,
            Deadline_Ms=DEADLINE_MS,
            Model="m",
            Token_Usage="3079,2300",
            Prefix_Hash=f"aa:79,{name}:3000",
        ),
    )
    data, start = bytearray(), rig.now()
    has_paused = False
    try:
        while not data.endswith(b"\r\n0\r\n\r\n"):
            part = await loop.sock_recv(sock, 1024)
            if not part:
                break
            data += part
            if len(data) >= FIRST_BYTES and not has_paused:
                has_paused = True
                await asyncio.sleep(pause_s)
    except OSError as error:
        record.line(f"client: {name}: {error!r}")
    sock.close()
    is_complete = data.endswith(b"\r\n0\r\n\r\n")
    record.line(
        f"client: {name} got {len(data)} bytes in {rig.now() - start:.1f} s,"
        f" complete: {is_complete}"
    )
    return is_complete


async def run(record, store, gateways, has_trouble):
    """Plays the case; returns whether the rule held."""
    generate = Generator(record)
    for name in ("i-one", "i-two"):
        engine = rig.Engine(name, "llm", generate)
        await engine.start()
        engine.register(store)
    service = {
        "name": "llm",
        "health_path": "/health",
        "max_connections": 712,
        "engine": {"slots": 24, "kv_tokens": 26999},
    }
    draft = rig.route(
        "draft",
        "llm",
        "stream",
        timeout_ms=DEADLINE_MS,
        target_latency_ms=4000,
        target_gap_ms=180,
        sticky=True,
        resumable=False,
    )
    store.put("op/config", rig.config(1, [draft], [service]))
    ips = ["127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4"]
    for ip in ips:
        gateways.start(ip)
    await gateways.wait_ready(*ips)
    await asyncio.sleep(4)
    gateways.change_settings(ips[0])
    gateways.processes[ips[0]].send_signal(signal.SIGHUP)
    record.line("the settings file has changed; SIGHUP to one gateway")
    await asyncio.sleep(0.5)
    names = [f"d{n}" for n in range(CLIENTS)]
    record.line(f"{CLIENTS} clients send to this gateway")
    complete = await asyncio.gather(
        *(
            send(
                record,
                gateways.front(ips[0]),
                name,
                PAUSE_S if has_trouble else 0,
            )
            for name in names
        )
    )
    lost = [
        name
        for name, is_whole in zip(names, complete, strict=True)
        if not is_whole
    ]
    record.line(f"{len(lost)} of {CLIENTS} answers were cut: {lost}")
    return not lost


if __name__ == "__main__":
    rig.main(
        pathlib.Path(__file__).resolve().parent,
        run,
        memory_mb=264,
        bounds=rig.CASCADE_CELLAR_BOUNDS,
    )
