"""Counts the bytes that are buffered for all connections together."""

import sys
from collections.abc import Callable

import attrs

# Bytes of a response that wait for its reader before its connection is read no
# more.
MAX_BUFFERED_BYTES = 256 << 10


@attrs.define(eq=False)
class HeldResponse:
    """Bytes of a response that are kept until more of it is received.

    Attributes:
        fail: Ends the response and its connection with a reason.
        bytes: The bytes that are kept.
        is_failed: Whether it was ended for want of memory.
    """

    fail: Callable[[str], None]
    bytes: int = 0
    is_failed: bool = False


@attrs.define
class BufferCount:
    """Counts bytes that are buffered, for all connections together.

    Attributes:
        bytes: The bytes that are buffered.
        limit_bytes: Over this bound, a connection that has received bytes is
            not read until they are taken.
        stream_bytes: The same bound for the bytes of one response.
        on_full: Called when bytes are received over `limit_bytes`.
        held: The responses that are kept until more is received.
    """

    bytes: int = 0
    limit_bytes: int = sys.maxsize
    stream_bytes: int = MAX_BUFFERED_BYTES
    on_full: Callable[[], None] = lambda: None
    held: set[HeldResponse] = attrs.field(factory=set)

    def hold(self, response: HeldResponse, total_bytes: int) -> None:
        """Counts what is now kept of a response."""
        self.bytes += total_bytes - response.bytes
        response.bytes = total_bytes
        if total_bytes:
            self.held.add(response)
        else:
            self.held.discard(response)
        if self.bytes > self.limit_bytes:
            self.on_full()
