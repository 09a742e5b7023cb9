"""Server-sent events: splitting a byte stream and reading event ids."""

import attrs

from rhubarbwinch.exceptions import EndpointError
from rhubarbwinch.identity import EventId, parse_event_id

MAX_EVENT_BYTES = 1 << 20
DONE = b"data: [DONE]\n\n"


@attrs.frozen
class StreamEvent:
    """One event of a generation.

    Attributes:
        id: The generation and the index; None on the last line of a stream.
        raw: The event's bytes, with the empty line that ends it.
    """

    id: EventId | None
    raw: bytes

    @property
    def is_done(self) -> bool:
        """Whether this is the mark that ends the stream."""
        return self.raw == DONE

    @property
    def data(self) -> bytes:
        """The content of the event's data line."""
        for line in self.raw.split(b"\n"):
            if line.startswith(b"data:"):
                return line[5:].strip()
        return b""


class Splitter:
    """Cuts received bytes into events."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that `data` completes.

        Raises:
            EndpointError: An event is longer than `MAX_EVENT_BYTES`.
        """
        parts = (self._rest + data).split(b"\n\n")
        self._rest = parts.pop()
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EndpointError("an event is too long", sent=True)
        return [parse(part + b"\n\n") for part in parts if part]


def parse(raw: bytes) -> StreamEvent:
    """Returns the event in `raw`; only an id in its first line is read."""
    if not raw.startswith(b"id:"):
        return StreamEvent(None, raw)
    text = raw[3 : raw.index(b"\n")].decode("ascii", "replace").strip()
    return StreamEvent(parse_event_id(text), raw)
