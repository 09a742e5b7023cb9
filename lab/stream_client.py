"""Load generator of `lab.bench_relay`: opens streams and checks event ids.

Prints one JSON line with tokens, seconds, errors, and percentiles in
microseconds of two durations: from the write at the token source to the read at
the caller, and from the request to the first token. Both processes use the
monotonic clock of the machine, so their times are comparable.
"""

import argparse
import asyncio
import re
import sys
import time
from typing import cast

import orjson
from hdrh.histogram import HdrHistogram

from rhubarbwinch.http.httpbody import ChunkedBody

_EVENT = re.compile(rb'id: [^\n]*:(\d+)\ndata: [^\n]*"t":(\d+)}\n\n')
MAX_US = 60_000_000


class Results:
    """Counters and histograms over all streams."""

    def __init__(self) -> None:
        self.tokens = 0
        self.reads = 0
        self.errors = 0
        self.delay_us = HdrHistogram(1, MAX_US, 3)
        self.first_us = HdrHistogram(1, MAX_US, 3)


class Caller(asyncio.Protocol):
    """A caller that reads one stream over its own connection.

    Args:
        request: The encoded request.
        length: The expected number of tokens.
        results: The counters to add to.
    """

    def __init__(self, request: bytes, length: int, results: Results) -> None:
        self._request = request
        self._length = length
        self._results = results
        self._next_index = 0
        self._unparsed = b""
        self._received = b""
        self._body: ChunkedBody | None = None
        self._sent_ns = 0
        self.done: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the request."""
        self._sent_ns = time.monotonic_ns()
        self._transport = cast(asyncio.Transport, transport)
        self._transport.write(self._request)

    def connection_lost(self, exc: Exception | None) -> None:
        """Counts an error if the stream is incomplete."""
        if not self.done.done():
            self._results.errors += 1
            self.done.set_result(None)

    def _fail(self, data: bytes) -> None:
        """Prints a failure and closes the connection, which counts an error."""
        sys.stderr.write(data.decode()[:200] + "\n")
        self._transport.close()

    def data_received(self, data: bytes) -> None:
        """Checks the ids of events and records their delays."""
        now = time.monotonic_ns()
        if self._body is None:
            self._received += data
            head, end, data = self._received.partition(b"\r\n\r\n")
            if not end:
                return
            if b" 200 " not in head[:16]:
                self._fail(data)
                return
            self._body = ChunkedBody()
        self._results.reads += 1
        self._unparsed += self._body.feed(data)
        self._read_events(now)

    def _read_events(self, now: int) -> None:
        results = self._results
        if b"event: error" in self._unparsed:
            self._fail(self._unparsed)
            return
        end = 0
        for match in _EVENT.finditer(self._unparsed):
            if int(match[1]) != self._next_index:
                results.errors += 1
            if self._next_index == 0:
                results.first_us.record_value((now - self._sent_ns) // 1000)
            self._next_index += 1
            results.tokens += 1
            results.delay_us.record_value((now - int(match[2])) // 1000 + 1)
            end = match.end()
        self._unparsed = self._unparsed[end:]
        if self._unparsed == b"data: [DONE]\n\n" and not self.done.done():
            results.errors += self._next_index != self._length
            self.done.set_result(None)
            self._transport.close()


async def run(
    address: str, streams: int, length: int, gap_ms: int, key: str
) -> Results:
    """Opens all streams and reads them to the end."""
    results = Results()
    body = orjson.dumps(
        {
            "model": "chat",
            "prompt": f"len={length} gap={gap_ms}",
            "max_tokens": length,
            "stream": True,
        }
    )
    request = (
        b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
        b"authorization: Bearer %b\r\ncontent-type: application/json\r\n"
        b"content-length: %d\r\n\r\n%b" % (key.encode(), len(body), body)
    )
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    open_callers = []
    for number in range(streams):
        _, caller = await loop.create_connection(
            lambda: Caller(request, length, results), host, int(port)
        )
        open_callers.append(caller)
        if gap_ms:
            # Even offsets, as with independent callers.
            await asyncio.sleep(gap_ms / 1000 / streams)
        elif number % 50 == 49:
            await asyncio.sleep(0.005)
    await asyncio.gather(*(caller.done for caller in open_callers))
    return results


def main() -> None:
    """Runs the callers and prints the results."""
    parser = argparse.ArgumentParser(description="Callers")
    parser.add_argument("--address", required=True)
    parser.add_argument("--streams", type=int, required=True)
    parser.add_argument("--length", type=int, required=True)
    parser.add_argument("--gap-ms", type=int, required=True)
    parser.add_argument("--key", required=True)
    options = parser.parse_args()
    began = time.monotonic()
    results = asyncio.run(
        run(
            options.address,
            options.streams,
            options.length,
            options.gap_ms,
            options.key,
        )
    )
    line = {
        "tokens": results.tokens,
        "reads": results.reads,
        "errors": results.errors,
        "seconds": time.monotonic() - began,
        "delay_p50_us": results.delay_us.get_value_at_percentile(50),
        "delay_p95_us": results.delay_us.get_value_at_percentile(95),
        "first_p95_us": results.first_us.get_value_at_percentile(95),
    }
    print(orjson.dumps(line).decode())


if __name__ == "__main__":
    main()
