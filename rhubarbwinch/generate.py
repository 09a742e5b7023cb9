"""Generation requests: permit, stream, retries and the caller's answer."""

import hashlib
from collections.abc import AsyncIterator
from functools import partial
from typing import Any

import anyio
import attrs
import orjson
from result import Err

from rhubarbwinch import identity, metrics
from rhubarbwinch.accepted import Snapshot
from rhubarbwinch.callparams import check_parameters
from rhubarbwinch.clock import Clock
from rhubarbwinch.endpoints import EndpointClient
from rhubarbwinch.exceptions import EndpointError
from rhubarbwinch.httpapi import Refused, Request, Responder
from rhubarbwinch.messages import PermitRequest, StreamEnd
from rhubarbwinch.permits import Permit, PermitClient
from rhubarbwinch.records import ServiceSpec
from rhubarbwinch.relay import Position, relay
from rhubarbwinch.sse import StreamEvent
from rhubarbwinch.verdict import Failure, Reason, Verdict, not_run

MAX_ATTEMPTS = 3
DEFAULT_MAX_TOKENS = 4096
BYTES_PER_TOKEN = 4
SSE_HEADERS = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-cache"),
]


@attrs.frozen
class Call:
    """A generation request that has been checked.

    Attributes:
        account: The client account.
        service_name: What the caller named as the model.
        service: Its record.
        path: `/v1/completions` or `/v1/chat/completions`.
        body: The body for the engine.
        stream: Whether the caller wants events.
        prompt_tokens: The estimated prompt length.
        max_tokens: The bound on the output.
    """

    account: str
    service_name: str
    service: ServiceSpec
    path: str
    body: bytes
    stream: bool
    prompt_tokens: int
    max_tokens: int

    @property
    def fingerprint(self) -> str:
        """Digest of the account and the content."""
        text = self.account.encode() + b"\0" + self.body
        return hashlib.sha256(text).hexdigest()[:32]


def parse_call(account: str, request: Request, snapshot: Snapshot) -> Call:
    """Returns the checked call in a request.

    Raises:
        Refused: The request is not valid; it did not run.
    """
    try:
        data = orjson.loads(request.body)
    except orjson.JSONDecodeError as error:
        raise Refused(not_run(Reason.BAD_REQUEST, f"body: {error}")) from None
    if not isinstance(data, dict) or not isinstance(data.get("model"), str):
        raise Refused(not_run(Reason.BAD_REQUEST, "model: a name is required"))
    check_parameters(data)
    name = data["model"]
    service = snapshot.services.get(name)
    spec = snapshot.accounts[account]
    if service is None or service.kind != "generate":
        raise Refused(not_run(Reason.NOT_FOUND, f"no model {name!r}"))
    if name not in spec.services:
        raise Refused(not_run(Reason.FORBIDDEN, f"{name!r} is not allowed"))
    model = snapshot.models.get(service.target)
    context = model.context_tokens if model else DEFAULT_MAX_TOKENS
    max_tokens = _max_tokens(data, context)
    stream = data.get("stream", False) is True
    data |= {"model": service.target, "max_tokens": max_tokens, "stream": True}
    body = orjson.dumps(data)
    return Call(
        account=account,
        service_name=name,
        service=service,
        path=request.path,
        body=body,
        stream=stream,
        prompt_tokens=len(request.body) // BYTES_PER_TOKEN,
        max_tokens=max_tokens,
    )


def _max_tokens(data: dict[str, Any], context: int) -> int:
    value = data.get("max_tokens", data.get("max_completion_tokens"))
    if value is None:
        return min(DEFAULT_MAX_TOKENS, context)
    if type(value) is not int or not 1 <= value <= context:
        detail = f"max_tokens: a whole number from 1 to {context}"
        raise Refused(not_run(Reason.BAD_REQUEST, detail))
    return value


class Generator:
    """Runs generation requests.

    Args:
        permits: Where places come from.
        endpoints: Calls engines.
        ids: Makes generation ids.
        clock: The source of time.
        counters: Where metrics go.
        entry: This member's name.
        data_center: Pools here are asked first.
    """

    def __init__(
        self,
        permits: PermitClient,
        endpoints: EndpointClient,
        ids: identity.IdMaker,
        clock: Clock,
        counters: metrics.Metrics,
        entry: str,
        data_center: str,
    ) -> None:
        self._permits = permits
        self._endpoints = endpoints
        self._ids = ids
        self._clock = clock
        self._metrics = counters
        self._entry = entry
        self._data_center = data_center

    async def serve(
        self, call: Call, snapshot: Snapshot, responder: Responder
    ) -> None:
        """Answers a call.

        Raises:
            Refused: It failed, with its verdict.
        """
        avoid: list[str] = []
        while True:
            permit = await self._permit(call, snapshot, avoid)
            try:
                await self._run(call, permit, responder)
                return
            except EndpointError as error:
                avoid.append(permit.grant.endpoint)
                if responder.started or len(avoid) >= MAX_ATTEMPTS:
                    raise Refused(_failure(error)) from error

    async def resume(
        self,
        account: str,
        after: identity.EventId,
        snapshot: Snapshot,
        responder: Responder,
    ) -> None:
        """Continues a stream after the event that its caller saw last.

        Raises:
            Refused: The stream is not the account's or is gone.
        """
        if not self._ids.is_of(after.generation, account):
            raise Refused(not_run(Reason.FORBIDDEN, "not your stream"))
        address = _find_address(snapshot, after.generation)
        if address is None:
            failure = Failure(
                Verdict.MAY_HAVE_RUN,
                Reason.STREAM_BROKEN,
                "the stream's engine is gone",
            )
            raise Refused(failure)
        position = Position(after.generation, after.index + 1)
        reopen = partial(self._endpoints.resume, address, after.generation)
        try:
            await self._send_events(relay(position, reopen, reopen), responder)
        except EndpointError as error:
            raise Refused(_failure(error)) from error

    async def _permit(
        self, call: Call, snapshot: Snapshot, avoid: list[str]
    ) -> Permit:
        request = PermitRequest(
            request_id="",
            entry=self._entry,
            pool="",
            account=call.account,
            service=call.service_name,
            interactive=call.service.interactive,
            prompt_tokens=call.prompt_tokens,
            max_tokens=call.max_tokens,
            fingerprint=call.fingerprint,
            wait_ms=call.service.wait_ms,
            avoid=avoid,
        )
        answer = await self._permits.ask_any(
            request,
            snapshot.pools_near(call.service.target, self._data_center),
            partial(self._ids.request_id, call.account),
        )
        if isinstance(answer, Err):
            raise Refused(answer.err_value)
        return answer.ok_value

    async def _run(
        self, call: Call, permit: Permit, responder: Responder
    ) -> None:
        grant = permit.grant
        generation = identity.generation_id(grant.request_id, grant.endpoint)
        position = Position(generation)
        end = StreamEnd.CANCELLED
        try:
            stream = relay(
                position,
                lambda _: self._endpoints.start(
                    grant.address,
                    call.path,
                    call.body,
                    generation,
                    grant.priority,
                ),
                partial(self._endpoints.resume, grant.address, generation),
            )
            if call.stream:
                await self._send_events(stream, responder)
            else:
                await _send_whole(stream, call, generation, responder)
            end = StreamEnd.FINISHED
        except EndpointError as error:
            end = StreamEnd.ENDPOINT_LOST if error.sent else StreamEnd.FAILED
            raise
        finally:
            with anyio.CancelScope(shield=True):
                tokens = position.next_index
                await self._permits.give_back(permit, end, tokens)
                if end is not StreamEnd.FINISHED:
                    await self._endpoints.cancel(grant.address, generation)

    async def _send_events(
        self, stream: AsyncIterator[StreamEvent], responder: Responder
    ) -> None:
        began = self._clock.now()
        async for event in stream:
            if not responder.started:
                await responder.start(200, SSE_HEADERS)
                elapsed = self._clock.now() - began
                self._metrics.timing(metrics.FIRST_TOKEN, elapsed)
            await responder.write(event.raw)
        await responder.write(b"", more=False)


async def _send_whole(
    stream: AsyncIterator[StreamEvent],
    call: Call,
    generation: str,
    responder: Responder,
) -> None:
    chat = "chat" in call.path
    text, finish = [], None
    async for event in stream:
        if event.is_done:
            break
        choice = orjson.loads(event.data)["choices"][0]
        part = choice["delta"].get("content", "") if chat else choice["text"]
        text.append(part or "")
        finish = choice["finish_reason"]
    content = "".join(text)
    choice = {"index": 0, "finish_reason": finish}
    if chat:
        choice["message"] = {"role": "assistant", "content": content}
    else:
        choice["text"] = content
    answer = {
        "id": generation,
        "object": "chat.completion" if chat else "text_completion",
        "created": 0,
        "model": call.service_name,
        "choices": [choice],
        "usage": {
            "prompt_tokens": call.prompt_tokens,
            "completion_tokens": len(text),
            "total_tokens": call.prompt_tokens + len(text),
        },
    }
    await responder.json(orjson.dumps(answer))


def _find_address(snapshot: Snapshot, generation: str) -> str | None:
    name = identity.endpoint_of(generation)
    for pool in snapshot.pools.values():
        for endpoint in pool.endpoints:
            if endpoint.name == name:
                return endpoint.address
    return None


def _failure(error: EndpointError) -> Failure:
    if error.sent:
        return Failure(Verdict.MAY_HAVE_RUN, Reason.STREAM_BROKEN, str(error))
    return not_run(Reason.ENDPOINT_FAILED, str(error), 1000)
