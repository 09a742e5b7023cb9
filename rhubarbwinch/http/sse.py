"""Splits byte streams into server-sent events and reads their fields.

The relay handles each event of each stream, so it finds the fields by scanning.
JSON is parsed only where a scan cannot decide.
"""

from typing import Any

import attrs
import orjson

from rhubarbwinch.shared.exceptions import EndpointError
from rhubarbwinch.shared.identifiers import EventId, parse_event_id

MAX_EVENT_BYTES = 1 << 20
DONE_EVENT = b"data: [DONE]\n\n"
_EVENT_END = b"\n\n"
_NO_FINISH_REASON = b'"finish_reason":null'


@attrs.define
class StreamEvent:
    """One event of a generation.

    Attributes:
        raw: The bytes of the event, including the empty line at its end.
    """

    raw: bytes

    @property
    def is_done(self) -> bool:
        """Whether this is the event that ends the stream."""
        return self.raw == DONE_EVENT

    @property
    def is_comment(self) -> bool:
        """Whether this is a comment, sent to keep the connection alive."""
        return self.raw.startswith(b":")

    @property
    def is_error(self) -> bool:
        """Whether the engine reports that the generation has failed."""
        return self.raw.startswith(b"event: error")

    @property
    def is_last_token(self) -> bool:
        """Whether the generation is complete with this event.

        Quotation marks within JSON strings are escaped, so the scan cannot
        mistake the text of a token for the field.
        """
        if _NO_FINISH_REASON in self.raw:
            return False
        return _has_finish_reason(self.data)

    @property
    def id(self) -> EventId | None:
        """The generation and index, if the first line is the event's id."""
        if not self.raw.startswith(b"id:"):
            return None
        line = self.raw[3 : self.raw.index(b"\n")]
        return parse_event_id(line.decode("ascii", "replace").strip())

    @property
    def data(self) -> bytes:
        """The content of the event's data line."""
        for line in self.raw.split(b"\n"):
            if line.startswith(b"data:"):
                return line[5:].strip()
        return b""


def _has_finish_reason(data: bytes) -> bool:
    try:
        content: Any = orjson.loads(data)
    except orjson.JSONDecodeError:
        return False
    if not isinstance(content, dict):
        return False
    choices = content.get("choices") or []
    return any(c.get("finish_reason") is not None for c in choices)


def join(events: list[StreamEvent]) -> bytes:
    """Returns the bytes of several events, for one write."""
    if len(events) == 1:
        return events[0].raw
    return b"".join([event.raw for event in events])


class EventSplitter:
    """Splits received bytes into events."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """The received bytes of an incomplete event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that `data` completes.

        Raises:
            EndpointError: An event is longer than `MAX_EVENT_BYTES`.
        """
        if self._rest:
            data = self._rest + data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        if data.find(_EVENT_END) == len(data) - 2 >= 0:
            # Nearly all reads return exactly one complete event.
            self._rest = b""
            return [StreamEvent(data)]
        parts = data.split(_EVENT_END)
        self._rest = parts.pop()
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EndpointError("an event is too long", sent=True)
        return [StreamEvent(part + _EVENT_END) for part in parts if part]
