"""Reads the bodies of HTTP/1.1 responses from received bytes."""

import re

import h11

MAX_LINE_BYTES = 4096
# At most 6 digits, so a chunk is smaller than 16 MiB.
_SIZE = re.compile(rb"([0-9A-Fa-f]{1,6})[ \t]*(?:;|$)")


class Body:
    """A body that is delimited by its length or by the connection's close.

    Args:
        length: The number of bytes; None if the close delimits the body.

    Attributes:
        is_complete: Whether the whole body has been received.
        rest: Received bytes that `feed` has not used.
    """

    def __init__(self, length: int | None) -> None:
        self._remaining = length
        self.is_complete = length == 0
        self.rest = b""

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body is delimited by the connection's close."""
        return self._remaining is None

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes of the body in `data`."""
        if self._remaining is None:
            return data
        content, self.rest = data[: self._remaining], data[self._remaining :]
        self._remaining -= len(content)
        self.is_complete = self._remaining == 0
        return content


class ChunkedBody(Body):
    """A body with chunked transfer encoding."""

    def __init__(self) -> None:
        super().__init__(-1)
        # Remaining bytes of the chunk with its line end; 0 between chunks.
        self._chunk_remaining = 0
        self._in_trailer = False

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes of the body in `data`.

        Raises:
            ValueError: The chunks are malformed.
        """
        if self.is_complete:
            # Bytes after the body are not collected.
            self.rest = data
            return b""
        data = self.rest + data if self.rest else data
        parts: list[bytes] = []
        position = 0
        while position < len(data) and not self.is_complete:
            if self._chunk_remaining:
                end = position + self._chunk_remaining
                if end > len(data):
                    position = self._append_part(data, position, parts)
                    break
                parts.append(self._finish_chunk(data, position, end))
                position = end
                continue
            end = data.find(b"\r\n", position)
            if end < 0:
                _check_line_length(len(data) - position)
                break
            self._parse_line(data[position:end])
            position = end + 2
        self.rest = data[position:]
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _finish_chunk(self, data: bytes, position: int, end: int) -> bytes:
        """Returns the rest of a chunk that ends within `data`."""
        if data[end - 2 : end] != b"\r\n":
            raise ValueError("a chunk without its line end")
        self._chunk_remaining = 0
        return data[position : end - 2]

    def _append_part(
        self, data: bytes, position: int, parts: list[bytes]
    ) -> int:
        """Adds the received part of a chunk; returns the end of the part."""
        # The last two bytes of a chunk are its line end, not content.
        end = min(len(data), position + self._chunk_remaining - 2)
        parts.append(data[position:end])
        self._chunk_remaining -= end - position
        return end

    def _parse_line(self, line: bytes) -> None:
        """Parses the length of a chunk, or a line of the trailer."""
        if self._in_trailer:
            self.is_complete = not line
            return
        match = _SIZE.match(line)
        if match is None:
            raise ValueError(f"a chunk's length of {line!r}")
        size = int(match[1], 16)
        if size == 0:
            self._in_trailer = True
        else:
            self._chunk_remaining = size + 2


def _check_line_length(length: int) -> None:
    if length > MAX_LINE_BYTES:
        raise ValueError("a chunk's first line is too long")


def make_body(method: bytes, head: h11.Response) -> Body:
    """Returns a reader for the body that a response head describes.

    Raises:
        ValueError: The content length is not a number.
    """
    if method == b"HEAD" or head.status_code in (204, 304):
        return Body(0)
    fields = dict(head.headers)
    if fields.get(b"transfer-encoding", b"").lower() == b"chunked":
        return ChunkedBody()
    length = fields.get(b"content-length")
    return Body(None if length is None else int(length))
