"""Parses generation requests and sends responses that are not streamed."""

import hashlib
from typing import Any

import attrs
import orjson

from rhubarbwinch.admission.prefixes import (
    BYTES_PER_TOKEN,
    encode_prompt,
    prefix_hashes,
)
from rhubarbwinch.callers.callparams import check_parameters
from rhubarbwinch.claims.claimkeys import ClaimKey
from rhubarbwinch.claims.idempotency import claim_key
from rhubarbwinch.endpoints.relay import Relay
from rhubarbwinch.http.httpapi import Refused, Request, Responder
from rhubarbwinch.records.acceptedconfig import ConfigSnapshot
from rhubarbwinch.records.records import ServiceSpec
from rhubarbwinch.shared.verdict import Reason, not_run

DEFAULT_MAX_TOKENS = 4096


@attrs.frozen
class GenerationCall:
    """A validated generation request.

    Attributes:
        account: The client account.
        service_name: The service, which the caller names as the model.
        service: The service's record.
        path: `/v1/completions` or `/v1/chat/completions`.
        body: The request body for the engine.
        stream: Whether the caller asked for server-sent events.
        prompt_tokens: The estimated length of the prompt.
        max_tokens: The limit of the output length.
        prefix: Hashes of the prompt's leading blocks.
        claim_key: The key under which the request runs at most once; None
            for a repeatable request.
    """

    account: str
    service_name: str
    service: ServiceSpec
    path: str
    body: bytes
    stream: bool
    prompt_tokens: int
    max_tokens: int
    prefix: list[int] = attrs.field(factory=list)
    claim_key: ClaimKey | None = None

    @property
    def fingerprint(self) -> str:
        """A digest of the account and the request body."""
        content = self.account.encode() + b"\0" + self.body
        return hashlib.sha256(content).hexdigest()[:32]


def parse_call(
    account: str, request: Request, snapshot: ConfigSnapshot
) -> GenerationCall:
    """Parses and validates a generation request.

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
    return GenerationCall(
        account=account,
        service_name=name,
        service=service,
        path=request.path,
        body=body,
        stream=stream,
        prompt_tokens=len(request.body) // BYTES_PER_TOKEN,
        max_tokens=max_tokens,
        prefix=prefix_hashes(encode_prompt(data)),
        claim_key=claim_key(account, name, service, request, request.path),
    )


def _max_tokens(data: dict[str, Any], context: int) -> int:
    value = data.get("max_tokens", data.get("max_completion_tokens"))
    if value is None:
        return min(DEFAULT_MAX_TOKENS, context)
    if type(value) is not int or not 1 <= value <= context:
        detail = f"max_tokens: a whole number from 1 to {context}"
        raise Refused(not_run(Reason.BAD_REQUEST, detail))
    return value


async def send_json_response(
    relay: Relay,
    call: GenerationCall,
    generation: str,
    responder: Responder,
) -> None:
    """Collects a generation's events and sends them as one JSON response.

    Raises:
        EndpointError: The stream broke; nothing has been sent to the caller.
    """
    chat = "chat" in call.path
    parts, finish_reason = [], None
    async for batch in relay.events():
        for event in batch:
            if event.is_done:
                break
            for choice in orjson.loads(event.data)["choices"]:
                parts.append(_text_of(choice, chat))
                finish_reason = choice["finish_reason"] or finish_reason
    content = "".join(parts)
    choice = {"index": 0, "finish_reason": finish_reason}
    if chat:
        choice["message"] = {"role": "assistant", "content": content}
    else:
        choice["text"] = content
    response = {
        "id": generation,
        "object": "chat.completion" if chat else "text_completion",
        "created": 0,
        "model": call.service_name,
        "choices": [choice],
        "usage": {
            "prompt_tokens": call.prompt_tokens,
            "completion_tokens": len(parts),
            "total_tokens": call.prompt_tokens + len(parts),
        },
    }
    await responder.send_json(orjson.dumps(response))


def _text_of(choice: dict[str, Any], chat: bool) -> str:
    if chat:
        return choice["delta"].get("content") or ""
    return choice["text"]
