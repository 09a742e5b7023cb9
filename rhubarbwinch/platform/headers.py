"""Encodes and decodes the HTTP heads of the platform."""

import re

from rhubarbwinch.gateway.platforminterface import (
    AttemptOptions,
    CallHead,
    DeclaredState,
    Headers,
    ResponseHead,
)
from rhubarbwinch.shared import events
from rhubarbwinch.shared.exceptions import BadCallError

# Identifies one attempt of a caller; each retry has an id of its own.
REQUEST_ID = b"attempt-id"
# A duration in milliseconds from the time of sending, not a point in time.
DEADLINE = b"deadline-ms"
ACCOUNT = b"tenant"
EXPECTED_ENDPOINT = b"expect-instance"
# The sizes announced by the caller: prompt tokens, maximum output tokens.
TOKEN_COUNTS = b"token-usage"
OUTPUT_ESTIMATE = b"length-hint"
# The parts of the prompt, as a list of ID:TOKENS with the id in hexadecimal.
PROMPT_PARTS = b"prefix-hash"
LAST_EVENT_ID = b"last-event-id"
# The attempt that received the first event of the stream that resumes.
RESUMED_ID = b"resumes"
SIGNATURE = b"server-signature"
NOT_RUN = b"not-executed"
STANDBY = b"kv-backup"
RESUME_FROM = b"kv-from"
PRIORITY = b"request-priority"
# The requests a second that an endpoint accepts from all gateways together.
RATE_LIMIT = b"server-limit"
LEAVING = b"server-leaving"
# The refusals a second, for want of room, after which an endpoint falls over.
BRITTLE = b"server-brittle"
RETRY_AFTER = b"retry-after"
# Milliseconds for which an endpoint is still cold.
WARMUP_LEFT = b"cold-ms"
AUTHORIZATION = b"authorization"
BEARER = "bearer "

# Hop-by-hop headers: they concern one connection and are not relayed.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Headers from callers that are not relayed: the gateway sets them itself, or
# endpoints must not receive them.
RESERVED_HEADERS = frozenset(
    {
        DEADLINE,
        ACCOUNT,
        EXPECTED_ENDPOINT,
        STANDBY,
        RESUME_FROM,
        PRIORITY,
        AUTHORIZATION,
        LAST_EVENT_ID,
        b"kv-hold",
        b"kv-fetch",
        b"pin-ms",
        b"expect-version",
    }
)
_DIGITS = re.compile(r"\d{1,12}")
_DECIMAL = re.compile(r"\d{1,12}(\.\d{0,30})?|\.\d{1,30}")
MISDIRECTED_REQUEST = 421
SERVICE_UNAVAILABLE = 503


def _values(headers: Headers, name: bytes) -> list[str]:
    return [
        v.decode("latin-1").strip() for n, v in headers if n.lower() == name
    ]


def _first_value(headers: Headers, name: bytes) -> str | None:
    values = _values(headers, name)
    return values[0] if values else None


def _parse_number(text: str | None) -> int | None:
    """Parses a whole number; None if `text` is None or not a number."""
    if text is None or not _DIGITS.fullmatch(text):
        return None
    return int(text)


def _hop_by_hop_names(headers: Headers) -> set[bytes]:
    """Returns the names of all hop-by-hop headers in a head.

    These include the headers that the head's `Connection` header names.
    """
    names = set(HOP_BY_HOP_HEADERS)
    for value in _values(headers, b"connection"):
        names |= {part.strip().lower().encode() for part in value.split(",")}
    return names


def decode_call(method: str, target: bytes, headers: Headers) -> CallHead:
    """Decodes the head of a caller's request.

    Raises:
        BadCallError: The id or the host is missing or occurs twice, or the
            deadline is not a whole number.
    """
    ids = _values(headers, REQUEST_ID)
    if len(ids) != 1 or not ids[0]:
        raise BadCallError("a request needs one id")
    hosts = _values(headers, b"host")
    if len(hosts) != 1:
        raise BadCallError("a request needs one host")
    deadline = _first_value(headers, DEADLINE)
    if deadline is not None and _parse_number(deadline) is None:
        raise BadCallError("the deadline is not a whole number")
    token_counts = (_first_value(headers, TOKEN_COUNTS) or "0,0").split(",")
    skipped = _hop_by_hop_names(headers) | RESERVED_HEADERS
    return CallHead(
        method=method,
        target=target,
        host=hosts[0].rpartition(":")[0].lower()
        if re.search(r":\d*$", hosts[0])
        else hosts[0].lower(),
        request_id=ids[0],
        api_key=_api_key(headers),
        deadline_ms=_parse_number(deadline),
        prompt_tokens=_parse_number(token_counts[0].strip()) or 0,
        max_output_tokens=_parse_number(token_counts[-1].strip()) or 0,
        estimated_output_tokens=_parse_number(
            _first_value(headers, OUTPUT_ESTIMATE)
        )
        or 0,
        last_event_id=_first_value(headers, LAST_EVENT_ID),
        headers=[(n, v) for n, v in headers if n.lower() not in skipped],
        resumed_id=_first_value(headers, RESUMED_ID) or None,
        prompt_parts=_prompt_parts(headers),
    )


def _prompt_parts(headers: Headers) -> tuple[str, ...]:
    """Returns the ids of the parts of the prompt, in order."""
    items = (_first_value(headers, PROMPT_PARTS) or "").split(",")
    ids = (item.partition(":")[0].strip().lower() for item in items)
    return tuple(part for part in ids if part)


def _api_key(headers: Headers) -> str | None:
    value = _first_value(headers, AUTHORIZATION)
    if value is None or not value.lower().startswith(BEARER):
        return None
    return value[len(BEARER) :].strip()


def endpoint_headers(
    call: CallHead, options: AttemptOptions, body_bytes: int
) -> Headers:
    """Returns the headers of a request to an endpoint."""
    result = list(call.headers)
    result.append((b"Deadline-Ms", str(options.time_left_ms).encode()))
    result.append((b"Expect-Instance", options.endpoint_id.encode()))
    if options.account is not None:
        result.append((b"Tenant", options.account.encode()))
    if options.last_event_id is not None:
        result.append((b"Last-Event-Id", options.last_event_id.encode()))
    if options.resume_from is not None:
        location = options.resume_from
        result.append(
            (b"Kv-From", f"{location.address}/{location.handle}".encode())
        )
    if options.standby_address is not None:
        result.append((b"Kv-Backup", options.standby_address.encode()))
    if options.priority is not None:
        result.append((b"Request-Priority", str(options.priority).encode()))
    if body_bytes or call.method not in ("GET", "HEAD", "DELETE"):
        result.append((b"Content-Length", str(body_bytes).encode()))
    return result


def forwarded_headers(
    headers: Headers, time_left_ms: int, body_bytes: int
) -> Headers:
    """Returns the headers of a caller's request to another gateway."""
    skipped = _hop_by_hop_names(headers) | {DEADLINE}
    result = [(n, v) for n, v in headers if n.lower() not in skipped]
    result.append((b"Deadline-Ms", str(time_left_ms).encode()))
    result.append((b"Content-Length", str(body_bytes).encode()))
    return result


def retry_after_ms(headers: Headers) -> int | None:
    """Returns when a gateway's failure asks the caller to come back."""
    seconds = _decode_decimal(headers, RETRY_AFTER)
    return None if seconds is None else int(1_000 * seconds)


def decode_response(status: int, headers: Headers) -> ResponseHead:
    """Decodes the head of an endpoint's response."""
    hop_by_hop = _hop_by_hop_names(headers)
    encodings = _values(headers, b"content-encoding")
    is_refusal = status == MISDIRECTED_REQUEST or bool(
        _values(headers, NOT_RUN)
    )
    is_signed = bool(_first_value(headers, SIGNATURE))
    # A misdirected request was refused by another endpoint, and a response
    # that is neither signed nor a refusal may come from anything on the way.
    is_own = status != MISDIRECTED_REQUEST and (is_signed or is_refusal)
    return ResponseHead(
        status=status,
        is_refusal=is_refusal,
        is_endpoint_gone=status == MISDIRECTED_REQUEST,
        is_signed=is_signed,
        is_altered=any(e.lower() != "identity" for e in encodings),
        headers=[(n, v) for n, v in headers if n.lower() not in hop_by_hop],
        declared=_decode_declared_state(status, headers) if is_own else None,
    )


def _decode_declared_state(status: int, headers: Headers) -> DeclaredState:
    pause_s = None
    if status == SERVICE_UNAVAILABLE:
        pause_s = _decode_decimal(headers, RETRY_AFTER)
    return DeclaredState(
        rate_limit=_decode_decimal(headers, RATE_LIMIT),
        is_leaving=_first_value(headers, LEAVING) == "1",
        pause_ms=int(1_000 * (pause_s or 0)),
        is_brittle=_decode_decimal(headers, BRITTLE) is not None,
        warmup_ms=_parse_number(_first_value(headers, WARMUP_LEFT)),
    )


def _decode_decimal(headers: Headers, name: bytes) -> float | None:
    """Decodes a decimal number; None if there is none or it is malformed."""
    text = _first_value(headers, name)
    if text is None:
        return None
    if not _DECIMAL.fullmatch(text):
        events.DECLARATION_UNREADABLE.log(header=name.decode(), value=text[:40])
        return None
    return float(text)


def is_response_to(request_id: str, headers: Headers) -> bool:
    """Returns whether a response belongs to a request.

    A response without an id counts as belonging to the request.
    """
    response_id = _first_value(headers, REQUEST_ID)
    return response_id is None or response_id == request_id


def failure_headers(request_id: str, retry_after_ms: int | None) -> Headers:
    """Returns the headers of a response of the gateway itself."""
    result: Headers = []
    if request_id:
        result.append((b"Attempt-Id", request_id.encode("latin-1")))
    if retry_after_ms is not None:
        seconds = f"{retry_after_ms / 1000:.3f}"
        result.append((b"Retry-After", seconds.encode()))
    return result


def event_id(event: bytes) -> str | None:
    """Returns the id of an event; the id may be on any of its lines."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
