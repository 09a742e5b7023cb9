"""A stand-in for a model engine: a simulated engine behind HTTP with SSE.

A prompt contains its output length as `len=N`. The text of token `i` is
`<tag>.<i> `, where the tag identifies the generation, so that the text alone
shows missing, duplicated and foreign tokens. A prompt that contains the word
`poison` ends the process.
"""

import hashlib
import os
import re
from typing import Any

import anyio
import attrs
import orjson

from lab.enginemodel import EngineModel, EngineParameters, Sequence
from lab.standins.faults import EngineFaults
from lab.standins.orders import OrderHandler
from lab.standins.serve import MAX_BODY_BYTES, make_parser, serve
from rhubarbwinch.http.httpapi import App, Request, Responder

DEFAULT_TOKENS = 20
POISON = "poison"
_LENGTH = re.compile(r"len=(\d+)")
SSE = [(b"content-type", b"text/event-stream")]


@attrs.define
class Generation:
    """A generation in the simulated engine.

    Attributes:
        name: The generation id.
        chat: Whether events have the chat completions format.
        sequence: Its sequence in the engine model.
        changed: Set and replaced when a token is added.
    """

    name: str
    chat: bool
    sequence: Sequence
    changed: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def tag(self) -> str:
        """The identifier of the generation in the text of each token."""
        return hashlib.sha256(self.name.encode()).hexdigest()[:6]

    def event(self, index: int) -> bytes:
        """Returns the event of a token."""
        last = index + 1 >= self.sequence.output_tokens
        text = f"{self.tag}.{index} "
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": "stop" if last else None,
        }
        if self.chat:
            choice["delta"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        object_type = (
            "chat.completion.chunk" if self.chat else "text_completion"
        )
        data = {
            "id": self.name,
            "object": object_type,
            "created": 0,
            "model": "stand-in",
            "choices": [choice],
        }
        head = f"id: {self.name}:{index}\ndata: ".encode()
        return head + orjson.dumps(data) + b"\n\n"


class Engine:
    """The HTTP interface of the engine.

    Args:
        parameters: The parameters of the engine model.
        speed: How many times faster than real time the model runs.
        orders: Handles orders to the engine.
    """

    def __init__(
        self, parameters: EngineParameters, speed: float, orders: OrderHandler
    ) -> None:
        self._orders = orders
        self._model = EngineModel(parameters)
        self._speed = speed
        self._generations: dict[str, Generation] = {}
        self._log: list[dict[str, Any]] = []
        self._faults = EngineFaults()
        self._has_work = anyio.Event()

    def app(self) -> App:
        """Returns the ASGI application."""
        app = App(MAX_BODY_BYTES)
        app.route("POST", "/v1/completions", self._start)
        app.route("POST", "/v1/chat/completions", self._start)
        app.route("GET", "/v1/generations/", self._resume)
        app.route("DELETE", "/v1/generations/", self._cancel)
        app.route("PATCH", "/v1/generations/", self._set_priority)
        app.route("POST", "/faults", self._set_faults)
        app.route("GET", "/load", self._show_load)
        self._orders.add_routes(app)
        app.route("GET", "/log", self._show_log)
        return app

    async def run(self) -> None:
        """Runs the steps of the engine model until cancelled."""
        while True:
            if not self._model.running and not self._model.waiting:
                await self._has_work.wait()
            self._has_work = anyio.Event()
            step = self._model.step()
            await anyio.sleep(step.ms / 1000 / self._speed)
            for sequence in step.advanced:
                generation = self._generations[sequence.name]
                generation.changed.set()
                generation.changed = anyio.Event()

    async def _start(self, request: Request, responder: Responder) -> None:
        if await self._faults.handle_start(responder):
            return
        body = orjson.loads(request.body)
        name = request.headers["x-generation-id"]
        text = request.body.decode()
        if POISON in text:
            # Simulates a request that crashes every engine that runs it.
            os._exit(1)
        match = _LENGTH.search(text)
        requested_tokens = int(match[1]) if match else DEFAULT_TOKENS
        sequence = Sequence(
            name,
            prompt_tokens=len(text) // 4,
            output_tokens=min(requested_tokens, body["max_tokens"]),
            priority=int(request.headers.get("x-priority", 0)),
        )
        chat = "chat" in request.path
        generation = Generation(name, chat, sequence)
        self._generations[name] = generation
        self._log.append({"generation": name, "tokens": sequence.output_tokens})
        self._model.add(sequence)
        self._has_work.set()
        await self._send(generation, 0, responder)

    async def _resume(self, request: Request, responder: Responder) -> None:
        name = request.path.rpartition("/")[2]
        generation = self._generations.get(name)
        if generation is None:
            await responder.send_json(b"{}", 404)
            return
        start = int(request.query.removeprefix("from="))
        await self._send(generation, start, responder)

    async def _cancel(self, request: Request, responder: Responder) -> None:
        name = request.path.rpartition("/")[2]
        self._model.cancel(name)
        self._log.append({"cancelled": name})
        await responder.send_json(b"{}")

    async def _set_priority(
        self, request: Request, responder: Responder
    ) -> None:
        priority = orjson.loads(request.body)["priority"]
        self._model.set_priority(request.path.rpartition("/")[2], priority)
        await responder.send_json(b"{}")

    async def _set_faults(self, request: Request, responder: Responder) -> None:
        self._faults.set_faults(orjson.loads(request.body))
        await responder.send_json(b"{}")

    async def _send(
        self, generation: Generation, index: int, responder: Responder
    ) -> None:
        await responder.start(200, SSE)
        sequence = generation.sequence
        while index < sequence.output_tokens:
            changed = generation.changed
            while index < sequence.generated_tokens:
                event = generation.event(index)
                if not await self._faults.send(
                    index, event, generation.name, responder
                ):
                    return
                index += 1
            if index < sequence.output_tokens:
                await changed.wait()
        await responder.write(b"data: [DONE]\n\n", more=False)

    async def _show_load(self, _: Request, responder: Responder) -> None:
        model = self._model
        data = {
            "age_ms": 0,
            "running": model.running,
            "waiting": model.waiting,
            "used_tokens": model.used_tokens,
            "capacity_tokens": model.parameters.capacity_tokens,
            "step_ms": model.last_step_ms,
            "preemptions": model.preemptions,
        }
        await responder.send_json(orjson.dumps(data))

    async def _show_log(self, _: Request, responder: Responder) -> None:
        await responder.send_json(orjson.dumps(self._log))


async def _run(engine: Engine, address: str) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(engine.run)
        await serve(engine.app(), address)


def main() -> None:
    """Runs the stand-in."""
    options_parser = make_parser("Model engine")
    options_parser.add_argument("--speed", type=float, default=1.0)
    options_parser.add_argument("--ignore-fencing", action="store_true")
    options_parser.add_argument("--weights", default="")
    options = options_parser.parse_args()
    orders = OrderHandler(not options.ignore_fencing, options.weights)
    engine = Engine(EngineParameters(), options.speed, orders)
    anyio.run(_run, engine, options.listen)


if __name__ == "__main__":
    main()
