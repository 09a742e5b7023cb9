"""A minimal engine for `lab.bench_relay` that sends paced tokens.

The prompt contains `len=N gap=MS`; with a gap of 0 tokens are sent as fast as
the reader accepts them. Each event contains the time of its write.
"""

import argparse
import asyncio
import re
import time
from typing import cast

_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
_LOAD = (
    b'{"age_ms":0,"running":0,"waiting":0,"used_tokens":0,'
    b'"capacity_tokens":1000000,"step_ms":10,"preemptions":0}'
)
_PROMPT = re.compile(rb"len=(\d+)(?: gap=(\d+))?")
_GENERATION = re.compile(rb"x-generation-id: ([^\r]+)", re.IGNORECASE)
_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)


class TokenSource(asyncio.Protocol):
    """A connection from the relay."""

    def __init__(self) -> None:
        self._received = b""
        self._sending: asyncio.Task[None] | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops sending."""
        if self._sending is not None:
            self._sending.cancel()

    def pause_writing(self) -> None:
        """Suspends sending while the write buffer is full."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Resumes sending."""
        self._can_write.set()

    def data_received(self, data: bytes) -> None:
        """Responds to each complete request."""
        self._received += data
        head, end, body = self._received.partition(b"\r\n\r\n")
        length = _LENGTH.search(head)
        if not end or len(body) < (int(length[1]) if length else 0):
            return
        self._received = b""
        prompt = _PROMPT.search(body)
        if prompt is None:
            answer = _LOAD if head.startswith(b"GET /load") else b"{}"
            size = str(len(answer)).encode()
            self._transport.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: %b\r\n\r\n" % size + answer
            )
            return
        found = _GENERATION.search(head)
        generation = found[1] if found else b"1-1-x~e"
        self._sending = asyncio.create_task(
            self._send(generation, int(prompt[1]), int(prompt[2] or 0))
        )

    async def _send(self, generation: bytes, length: int, gap_ms: int) -> None:
        self._transport.write(_HEAD)
        due = time.monotonic()
        for index in range(length):
            await self._can_write.wait()
            last = b'"stop"' if index + 1 == length else b"null"
            event = (
                b'id: %b:%d\ndata: {"id":"%b","object":"text_completion",'
                b'"created":0,"model":"m","choices":[{"index":0,"text":" word",'
                b'"finish_reason":%b}],"t":%d}\n\n'
                % (generation, index, generation, last, time.monotonic_ns())
            )
            self._transport.write(b"%x\r\n%b\r\n" % (len(event), event))
            if gap_ms:
                due += gap_ms / 1000
                await asyncio.sleep(max(0.0, due - time.monotonic()))
            elif index % 64 == 63:
                await asyncio.sleep(0)
        self._transport.write(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")


async def _run(address: str) -> None:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        TokenSource, host, int(port), backlog=2048
    )
    await server.serve_forever()


def main() -> None:
    """Runs the token source."""
    parser = argparse.ArgumentParser(description="Token source")
    parser.add_argument("--listen", required=True, help="a.b.c.d:port")
    asyncio.run(_run(parser.parse_args().listen))


if __name__ == "__main__":
    main()
