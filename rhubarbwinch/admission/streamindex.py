"""Indexes the granted requests of a pool by request id and by entry."""

from collections.abc import Iterator

from rhubarbwinch.admission.digests import request_key
from rhubarbwinch.admission.enginestate import Stream
from rhubarbwinch.links.messages import PermitRequest, StreamGrowth


class StreamIndex:
    """The streams of a pool by request id, and by entry.

    With the index by entry, handling a report of one entry doesn't touch the
    streams of other entries.
    """

    def __init__(self) -> None:
        self._streams: dict[str, Stream] = {}
        self._by_entry: dict[str, dict[str, Stream]] = {}

    def __iter__(self) -> Iterator[Stream]:
        """Yields all streams; they may be removed during the iteration."""
        return iter(list(self._streams.values()))

    def get(self, request_id: str) -> Stream | None:
        """Returns the stream of a request, or None."""
        return self._streams.get(request_id)

    def of_entry(self, entry: str) -> list[Stream]:
        """Returns an entry's streams."""
        return list(self._by_entry.get(entry, {}).values())

    def add(self, stream: Stream) -> None:
        """Adds a stream."""
        request = stream.request
        self._streams[request.request_id] = stream
        of_entry = self._by_entry.setdefault(request.entry, {})
        of_entry[request.request_id] = stream

    def remove(self, stream: Stream) -> None:
        """Removes a stream."""
        request = stream.request
        del self._streams[request.request_id]
        of_entry = self._by_entry[request.entry]
        del of_entry[request.request_id]
        if not of_entry:
            del self._by_entry[request.entry]

    def reassign(self, stream: Stream, request: PermitRequest) -> None:
        """Reassigns a stream to the entry that its caller reconnected to."""
        self.remove(stream)
        stream.request = request
        self.add(stream)

    def apply_growth(
        self, entry: str, grown: list[StreamGrowth], now: int
    ) -> None:
        """Applies the token counts that an entry reported at time `now`."""
        if not grown:
            return
        tokens = {growth.key: growth.tokens for growth in grown}
        for stream in self.of_entry(entry):
            reported = tokens.get(request_key(stream.request.request_id))
            if reported is not None:
                stream.tokens, stream.at_ms = reported, now
