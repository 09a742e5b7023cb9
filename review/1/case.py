"""A run whose answer is lost while it is copied goes on at two engines."""

import asyncio
import contextlib
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import rig

# Streams over the three engines.
STREAMS = 24
PROMPT_TOKENS = 3079
EVENTS = 330
EVENT_S = 0.028
TOKENS_PER_EVENT = 4
KV_BYTES = 35136
LINK_BYTES_PER_S = 5100e6 / 8
# Short requests that the leaving engine has run before: with these, one lost
# answer is under a twentieth of its requests.
SHORT_REQUESTS = 60
SHORT_EVENTS = 3
# The largest share of answers that the site file lets be lost.
LARGEST_SHARE = 0.05
# An answer is lost this long after the engine has said that it leaves.
LOST_AFTER_S = 1.0
# The rule's limit on how long two engines may work on one request.
LIMIT_S = 0.4


class Run:
    """A generation at one engine."""

    def __init__(self, request_id, made, events):
        self.id = request_id
        self.made = made
        self.events = events
        self.started = rig.now()
        self.last_work = rig.now()
        self.is_stopped = False
        self.is_moving = False
        self.copied_tokens = 0
        self.writer = None

    @property
    def tokens(self):
        """The tokens in memory."""
        return PROMPT_TOKENS + TOKENS_PER_EVENT * self.made


class ModelEngine(rig.Engine):
    """A model engine that moves KV caches and goes on after a lost client."""

    def __init__(self, name, record, copies, zone):
        super().__init__(name, "llm", self._generate, zone)
        self._record = record
        self._copies = copies
        self._link = asyncio.Lock()
        self.all_runs = {}
        self.copied = []

    async def _generate(self, _, request, writer):
        if request.target == "/kv-move":
            await self._move(json.loads(request.body), writer)
            return
        if request.target.startswith("/kv-handle/"):
            writer.write(rig.head(200, {"Content-Length": 2}) + b"{}")
            return
        made = 0
        origin = request.headers.get("kv-from")
        if origin is not None:
            if self._copies.pop(origin, None) is None:
                writer.write(
                    rig.head(
                        503,
                        {
                            "Attempt-Id": request.id,
                            "Not-Executed": 1,
                            "Content-Length": 0,
                        },
                    )
                )
                return
            made = int(request.headers["last-event-id"])
        run = self.all_runs[request.id] = Run(
            request.id,
            made,
            EVENTS if request.target.startswith("/draft/") else SHORT_EVENTS,
        )
        run.writer = writer
        self._record.line(
            f"{self.name} runs {request.id} from event {made + 1}"
            + (f", with the copy {origin}" if origin else "")
        )
        writer.write(
            rig.head(
                200,
                self.signed(
                    request,
                    Transfer_Encoding="chunked",
                    Content_Type="text/event-stream",
                ),
            )
        )
        # The engine goes on with a run whose connection is closed.
        await asyncio.create_task(self._work(run))

    async def _work(self, run):
        while run.made < run.events and not run.is_stopped:
            await asyncio.sleep(EVENT_S)
            if run.is_stopped:
                break
            run.made += 1
            run.last_work = rig.now()
            event = f"id: {run.made}\ndata: piece {run.made}\n\n".encode()
            self._write(run, b"%x\r\n%s\r\n" % (len(event), event))
        if run.is_stopped:
            self._record.line(f"{self.name} has stopped {run.id}")
            run.writer.transport.abort()
        else:
            self._write(run, b"0\r\n\r\n")
        self._record.line(f"{self.name} ends {run.id} at event {run.made}")

    def _write(self, run, data):
        if not run.writer.is_closing():
            with contextlib.suppress(ConnectionError):
                run.writer.write(data)

    def lose_answer(self):
        """Resets the connection of the run that was copied first."""
        run = self.all_runs[self.copied[0]]
        self._record.line(f"{self.name} loses its answer to {run.id}")
        run.writer.transport.abort()

    async def _move(self, body, writer):
        """Copies the memory of a run; `last` stops the run first."""
        run, last = self.all_runs.get(body["id"]), bool(body.get("last"))
        if run is None or run.made >= run.events:
            status, reply = 404, {}
        elif run.is_moving:
            status, reply = 409, {}
        else:
            run.is_moving = True
            run.is_stopped |= last
            async with self._link:
                tokens = run.tokens
                size = (tokens - run.copied_tokens) * KV_BYTES
                # A move to another zone takes twice as long.
                await asyncio.sleep(2 * size / LINK_BYTES_PER_S)
                run.copied_tokens = tokens
            run.is_moving = False
            made = (tokens - PROMPT_TOKENS) // TOKENS_PER_EVENT
            handle = f"h-{run.id}"
            self._copies[f"{self.address}/{handle}"] = made
            status, reply = 200, {"handle": handle, "created": made}
        if status == 200:
            self.copied.append(body["id"])
        self._record.line(
            f"{self.name} kv-move {body['id']} last={last}: {status}"
        )
        data = json.dumps(reply).encode()
        writer.write(rig.head(status, {"Content-Length": len(data)}) + data)


async def send(record, address, route, name):
    """Sends one request; returns whether its answer was complete."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(
        rig.request_bytes(
            "POST",
            f"/{route}/1",
            name,
            b"p" * 3000,
            Deadline_Ms=39000,
            Model="m",
            Token_Usage=f"{PROMPT_TOKENS},1400",
            Prefix_Hash=f"aa:79,{name}:3000",
        )
    )
    record.line(f"client sends {name}")
    data = b""
    with contextlib.suppress(ConnectionError):
        while not data.endswith(b"\r\n0\r\n\r\n"):
            part = await reader.read(65536)
            if not part:
                break
            data += part
    is_complete = data.endswith(b"\r\n0\r\n\r\n")
    record.line(
        f"client got {name}: {data[:12].decode()}, complete: {is_complete}"
    )
    writer.close()
    return is_complete


async def run(record, store, gateways, has_trouble):
    """Plays the case; returns whether the rule held."""
    copies = {}
    first = ModelEngine("i-first", record, copies, "z1")
    second = ModelEngine("i-second", record, copies, "z2")
    others = [
        ModelEngine(f"i-other-{n}", record, copies, "z2") for n in range(2)
    ]
    for engine in (first, second, *others):
        await engine.start()
    for engine in (first, *others):
        engine.register(store)
    service = {
        "name": "llm",
        "health_path": "/health",
        "max_connections": 282,
        "engine": {
            "slots": 24,
            "kv_tokens": 34261,
            "kv_bytes": KV_BYTES,
            "link_mbps": 5100.0,
            "moves": True,
            "backups": True,
            "handle_s": 5.0,
            "stride": 4,
            "models": [{"name": "m"}],
        },
    }
    draft = rig.route(
        "draft",
        "llm",
        "stream",
        timeout_ms=39000,
        target_latency_ms=1800,
        target_gap_ms=180,
        sticky=True,
        resumable=False,
    )
    ask = rig.route(
        "ask",
        "llm",
        "stream",
        timeout_ms=39000,
        target_latency_ms=1500,
        target_gap_ms=180,
        sticky=True,
        resumable=False,
    )
    store.put("op/config", rig.config(1, [draft, ask], [service]))
    ips = ["127.0.0.1", "127.0.0.2"]
    for ip in ips:
        gateways.start(ip)
    await gateways.wait_ready(*ips)
    await asyncio.sleep(4)
    for n in range(SHORT_REQUESTS):
        await send(record, gateways.front(ips[n % 2]), "ask", f"a{n:02}")
    clients = [
        asyncio.create_task(
            send(record, gateways.front(ips[n % 2]), "draft", f"d{n}")
        )
        for n in range(STREAMS)
    ]
    await asyncio.sleep(2)
    record.line("release: the new engine is ready")
    second.register(store)
    await asyncio.sleep(1)
    record.line("release: the old engine reports draining")
    first.state = "draining"
    first.register(store)
    await asyncio.sleep(LOST_AFTER_S)
    share = 1 / len(first.all_runs)
    record.line(
        f"{first.name} has run {len(first.all_runs)} requests; one lost answer"
        f" is a share of {share:.3f}"
    )
    if not first.copied or share > LARGEST_SHARE:
        raise rig.CannotRunError("the dose would be too large")
    if has_trouble:
        first.lose_answer()
    complete = sum(await asyncio.gather(*clients))
    await asyncio.sleep(1)
    twice = 0
    elsewhere = {}
    for engine in (second, *others):
        for request_id, later_run in engine.all_runs.items():
            if request_id in first.all_runs:
                elsewhere[request_id] = later_run
    for request_id, later in elsewhere.items():
        before = first.all_runs.get(request_id)
        if before is None:
            continue
        overlap = before.last_work - later.started
        record.line(
            f"{request_id}: the old engine worked {max(0, overlap):.2f} s"
            " beside the new one"
        )
        twice += overlap > LIMIT_S
    record.line(f"{complete} of {STREAMS} complete, {twice} at two engines")
    return not twice


if __name__ == "__main__":
    rig.main(pathlib.Path(__file__).resolve().parent, run)
