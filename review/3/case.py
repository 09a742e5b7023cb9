"""A drain ends before a slow client has read its whole answer."""

import asyncio
import pathlib
import signal
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import rig

EVENT_S = 0.028
# Two kinds of answers, by the first letter of the request's id. Those of steady
# clients are large, those of clients that pause have events of the usual size.
EVENTS = {"s": 400, "p": 440}
EVENT_BYTES = {"s": 1800, "p": 320}
NAMES = ["s0", "s1", "s2", "s3", "p0", "p1", "p2", "p3"]
# Steady clients read a little more slowly than the engine generates.
CLIENT_BYTES_PER_S = 46_000
# The others read nothing in this time, in seconds after the request.
PAUSE_S = (5.6, 13.4)
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
        kind = request.id[0]
        for number in range(1, EVENTS[kind] + 1):
            start = f"id: {number}\ndata: ".encode()
            event = (
                start + b"x" * (EVENT_BYTES[kind] - len(start) - 2) + b"\n\n"
            )
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
            if name.startswith("s"):
                due = start + len(data) / CLIENT_BYTES_PER_S
                await asyncio.sleep(max(0, due - rig.now()))
            elif PAUSE_S[0] <= rig.now() - start < PAUSE_S[1]:
                await asyncio.sleep(start + PAUSE_S[1] - rig.now())
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
    leaving = ips[0]
    process = gateways.processes[leaving]
    await asyncio.sleep(4)
    record.line(f"{len(NAMES)} clients send and read slowly")
    clients = [
        asyncio.create_task(send(record, gateways.front(leaving), name))
        for name in NAMES
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
        for name, is_whole in zip(NAMES, complete, strict=True)
        if not is_whole and generate.ended.get(name, last_sixth) < last_sixth
    ]
    record.line(f"{len(lost)} of {len(NAMES)} answers were cut: {lost}")
    if has_trouble:
        await exit_task
    return not lost


if __name__ == "__main__":
    rig.main(
        pathlib.Path(__file__).resolve().parent,
        run,
        memory_mb=264,
        bounds=rig.CASCADE_CELLAR_BOUNDS,
    )
