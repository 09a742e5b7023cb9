"""Decides how many bytes are buffered, and which caller is disconnected.

Pure code. It handles callers and endpoints that read slowly or not at all: a
few hundred callers that stop reading streams, or take no whole responses, and
endpoints that take no long request bodies. Each connection has a bound of its
own, but their sum would exceed the memory of a small VM.
"""

from collections.abc import Iterable

import attrs

from rhubarbwinch.http.buffercount import HeldResponse

# A gateway without callers takes about 40 MB of at least 136 MB. With hundreds
# of stalled callers it grows by 2 to 2.5 bytes for each that is counted, by
# copies that are parsed or encoded, and by the state of the connections.
BUFFER_SHARE = 0.2
# Request bodies may take this share of the bound, so that bodies which wait for
# a slow endpoint do not cause callers to be disconnected.
BODY_SHARE = 0.5
# Responses that are kept until they are complete may take this share of the
# bound before they are ended to make room.
RESPONSE_SHARE = 0.5
# A caller that has read within this time reads steadily. It is disconnected
# only over the bound times `HARD_FACTOR`, which memory can still hold.
MIN_STALL_MS = 1_000
HARD_FACTOR = 1.25
# Bytes of one response that wait for a caller before its endpoint is not read
# any more. One read of the socket, up to 256 KiB, may come on top.
STREAM_BYTES = 256 << 10


@attrs.define(eq=False)
class CallerUse:
    """The bytes that are buffered for one connection of a caller.

    Attributes:
        request_bytes: Bytes of the body of its request.
        response_bytes: Bytes in the write buffer of its connection.
        written_bytes: Bytes written since the write buffer was last empty.
        taken_bytes: How many of them the caller's VM has acknowledged.
        unread_since_ms: When it last took bytes, or when the first one waited.
        deadline_ms: The deadline of its request, or None.
    """

    request_bytes: int = 0
    response_bytes: int = 0
    written_bytes: int = 0
    taken_bytes: int = 0
    unread_since_ms: int = 0
    deadline_ms: int | None = None

    def record_pending(self, pending_bytes: int, now_ms: int) -> None:
        """Records how many of the written bytes are not acknowledged."""
        taken = self.written_bytes - pending_bytes
        if taken > self.taken_bytes:
            self.taken_bytes = taken
            self.unread_since_ms = now_ms


class BufferLimits:
    """The bounds on the bytes buffered for callers.

    Args:
        memory_mb: The limit on the process's memory.

    Attributes:
        total_bytes: The bound for all callers.
        stream_bytes: The bound for a response from an endpoint.
    """

    def __init__(self, memory_mb: int) -> None:
        self.total_bytes = int((memory_mb << 20) * BUFFER_SHARE)
        self.stream_bytes = STREAM_BYTES

    def admits_body(
        self, held_bytes: int, body_bytes: int, more_bytes: int
    ) -> bool:
        """Returns whether more bytes of a request body may be buffered.

        Args:
            held_bytes: Bytes buffered for all callers.
            body_bytes: Those of them that belong to request bodies.
            more_bytes: The further bytes.
        """
        return (
            held_bytes + more_bytes <= self.total_bytes
            and body_bytes + more_bytes <= self.total_bytes * BODY_SHARE
        )

    def choose_responses(
        self, responses: Iterable[HeldResponse], held_bytes: int
    ) -> list[HeldResponse]:
        """Returns the responses of endpoints to end, the largest first.

        A response that is kept until it is complete has no bound that makes its
        endpoint wait. If such responses take most of the memory, they give way
        before callers that read slowly.

        Args:
            responses: The responses that are kept, without those that were
                ended.
            held_bytes: Bytes buffered for all callers, without those of
                responses that were ended.
        """
        ordered = sorted(responses, key=lambda r: r.bytes)
        kept_bytes = sum(response.bytes for response in ordered)
        chosen = []
        while (
            held_bytes > self.total_bytes
            and kept_bytes > self.total_bytes * RESPONSE_SHARE
        ):
            largest = ordered.pop()
            chosen.append(largest)
            held_bytes -= largest.bytes
            kept_bytes -= largest.bytes
        return chosen

    def choose_caller(
        self, callers: Iterable[CallerUse], held_bytes: int, now_ms: int
    ) -> CallerUse | None:
        """Returns the caller to disconnect, or None.

        Args:
            callers: The callers for which bytes of a response wait.
            held_bytes: Bytes buffered for all callers.
            now_ms: The time.
        """
        if held_bytes <= self.total_bytes:
            return None
        longest = min(callers, key=lambda c: c.unread_since_ms, default=None)
        if longest is None:
            return None
        is_stalled = now_ms - longest.unread_since_ms >= MIN_STALL_MS
        if is_stalled or held_bytes > self.total_bytes * HARD_FACTOR:
            return longest
        return None
