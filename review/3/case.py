"""A drain ends before a slow client has read its whole answer."""

import asyncio
import pathlib
import signal
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import rig

CLIENTS = 4
EVENTS = 400
EVENT_S = 0.028
EVENT_BYTES = 1800
# The clients read steadily, a little more slowly than the engine generates.
CLIENT_BYTES_PER_S = 46_000
CLIENT_BUFFER_BYTES = 4096
CLIENT_SEGMENT_BYTES = 536
# The answers have begun this long before the SIGTERM.
BEFORE_TERM_S = 9.5
DEADLINE_MS = 39000


class Generator:
    """Generates answers and keeps when each was complete."""

    def __init__(self, record):
        self._record = record
        self.ended = {}

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
        began = rig.now()
        for number in range(1, EVENTS + 1):
            start = f"id: {number}\ndata: ".encode()
            event = start + b"x" * (EVENT_BYTES - len(start) - 2) + b"\n\n"
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(max(0, began + number * EVENT_S - rig.now()))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.ended[request.id] = rig.now()
        self._record.line(f"{engine.name} has ended {request.id} well")


async def send(record, address, name):
    """Sends a request and reads the answer slowly; returns if it is whole."""
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
    try:
        while not data.endswith(b"\r\n0\r\n\r\n"):
            part = await loop.sock_recv(sock, 1024)
            if not part:
                break
            data += part
            due = start + len(data) / CLIENT_BYTES_PER_S
            await asyncio.sleep(max(0, due - rig.now()))
    except ConnectionError as error:
        record.line(f"client: {name}: {error!r}")
    sock.close()
    is_complete = data.endswith(b"\r\n0\r\n\r\n")
    record.line(
        f"client: {name} got {len(data)} bytes in {rig.now() - start:.1f} s,"
        f" complete: {is_complete}"
    )
    return is_complete


async def watch_exit(record, process, since):
    """Records when a process has ended."""
    while process.poll() is None:
        await asyncio.sleep(0.02)
    record.line(
        f"the gateway ended {rig.now() - since:.2f} s after the SIGTERM,"
        f" status {process.returncode}"
    )


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
        "max_connections": 282,
        "engine": {"slots": 24, "kv_tokens": 34261},
    }
    draft = rig.route(
        "draft",
        "llm",
        "stream",
        timeout_ms=DEADLINE_MS,
        target_latency_ms=1800,
        target_gap_ms=180,
        sticky=True,
        resumable=False,
    )
    store.put("op/config", rig.config(1, [draft], [service]))
    leaving, other = "127.0.0.1", "127.0.0.2"
    process = gateways.start(leaving)
    gateways.start(other)
    await gateways.wait_ready(leaving, other)
    await asyncio.sleep(4)
    names = [f"d{n}" for n in range(CLIENTS)]
    record.line(f"{CLIENTS} clients send and read slowly")
    clients = [
        asyncio.create_task(send(record, gateways.front(leaving), name))
        for name in names
    ]
    await asyncio.sleep(BEFORE_TERM_S)
    sent = rig.now()
    if has_trouble:
        record.line("SIGTERM to the gateway of these clients")
        process.send_signal(signal.SIGTERM)
        exit_task = asyncio.create_task(watch_exit(record, process, sent))
    complete = await asyncio.gather(*clients)
    # An engine at work in the last sixth of the grace period is an excuse.
    last_sixth = sent + rig.GRACE_S * 5 / 6
    lost = [
        name
        for name, is_whole in zip(names, complete, strict=True)
        if not is_whole and generate.ended.get(name, last_sixth) < last_sixth
    ]
    record.line(f"{len(lost)} of {CLIENTS} answers were cut: {lost}")
    if has_trouble:
        await exit_task
    return not lost


if __name__ == "__main__":
    rig.main(pathlib.Path(__file__).resolve().parent, run)
