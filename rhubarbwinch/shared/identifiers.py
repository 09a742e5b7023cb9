"""Makes and parses request ids, generation ids and event ids.

A request id is `<incarnation>-<counter>-<tag>`, and a generation id is
`<request id>~<endpoint>`. Any entry finds the endpoint of a stream by the
generation id alone. The tag authenticates the account, so that only the account
that started a stream can resume it.
"""

import hashlib
import hmac
import itertools
import secrets

import attrs

_TAG_CHARS = 12


def new_incarnation() -> int:
    """Returns a random 63-bit number that identifies a process's start."""
    return secrets.randbits(63)


@attrs.frozen
class EventId:
    """The id of one event of a stream.

    Attributes:
        generation: The generation id.
        index: The event's position in the stream, from 0.
    """

    generation: str
    index: int


class IdGenerator:
    """Makes request ids that are unique across processes.

    Args:
        incarnation: This process's incarnation.
        secret: The key of the tags in the ids.
    """

    def __init__(self, incarnation: int, secret: str) -> None:
        self._incarnation = f"{incarnation:x}"
        self._secret = secret.encode()
        self._counter = itertools.count(1)

    def request_id(self, account: str) -> str:
        """Returns a new request id for an account."""
        base = f"{self._incarnation}-{next(self._counter):x}"
        return f"{base}-{self._tag(base, account)}"

    def is_owned_by(self, generation: str, account: str) -> bool:
        """Returns whether `account` started a generation."""
        request_id = generation.partition("~")[0]
        base, _, tag = request_id.rpartition("-")
        return hmac.compare_digest(tag, self._tag(base, account))

    def _tag(self, base: str, account: str) -> str:
        text = f"{base}\0{account}".encode()
        digest = hmac.new(self._secret, text, hashlib.sha256).hexdigest()
        return digest[:_TAG_CHARS]


def generation_id(request_id: str, endpoint: str) -> str:
    """Returns the id of a request's generation at an endpoint."""
    return f"{request_id}~{endpoint}"


def endpoint_of(generation: str) -> str:
    """Returns the name of the endpoint that runs a generation."""
    return generation.partition("~")[2]


def incarnation_of(generation: str) -> int | None:
    """Returns the incarnation of the entry that made a generation's id."""
    try:
        return int(generation.partition("-")[0], 16)
    except ValueError:
        return None


def parse_event_id(text: str) -> EventId | None:
    """Parses `<generation>:<index>`; returns None for any other text."""
    generation, colon, index = text.rpartition(":")
    if not colon or not index.isdecimal() or "~" not in generation:
        return None
    return EventId(generation, int(index))
