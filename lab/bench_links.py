"""Measures the cost of a call over a link on the loopback address.

Client and server run in one process, so the processor time is the sum of both.
Prints a JSON line for each message type.
"""

import argparse
import socket
import sys
import time

import anyio
import attrs
import orjson

from rhubarbwinch.admission.digests import request_key
from rhubarbwinch.links.links import Links, LinkServer
from rhubarbwinch.links.messages import (
    Ack,
    DigestReply,
    DigestReport,
    PermitGrant,
    PermitReply,
    PermitRequest,
    ProgressReport,
    StreamGrowth,
    StreamProgress,
)
from rhubarbwinch.shared import codec

CALLERS = 50
STREAMS_IN_REPORT = 20


@attrs.frozen
class Cost:
    """The cost of a call with one message type.

    Attributes:
        message: The class name of the request.
        calls: The number of calls.
        cpu_us: Processor time per call, client and server together.
        request_bytes: The size of the encoded request.
        reply_bytes: The size of the encoded reply.
    """

    message: str
    calls: int
    cpu_us: float
    request_bytes: int
    reply_bytes: int


def permit_request() -> PermitRequest:
    """Returns a permit request of typical size."""
    return PermitRequest(
        request_id="5f3a2b1c4d5e6f70-1a2b3c-0123456789ab",
        entry="entry-pl-south-a-1",
        pool="vintner.pl-south-a",
        account="account-1234",
        service="chat",
        prompt_tokens=350,
        max_tokens=4096,
        prefix=[1 << 60, 1 << 61, 1 << 62],
        fingerprint="0123456789abcdef0123456789abcdef",
        wait_ms=2000,
    )


def permit_reply() -> PermitReply:
    """Returns a granted permit of typical size."""
    request = permit_request()
    grant = PermitGrant(request.request_id, "engine-17", "10.20.30.40:8000")
    return PermitReply(grant=grant)


def progress_report() -> ProgressReport:
    """Returns a full report of `STREAMS_IN_REPORT` open streams."""
    stream = StreamProgress(permit_request(), "engine-17", 512)
    request = stream.request
    return ProgressReport(
        request.entry, request.pool, [stream] * STREAMS_IN_REPORT
    )


def digest_report() -> DigestReport:
    """Returns a digest report of open streams with the growth of one."""
    request = permit_request()
    grown = [StreamGrowth(request_key(request.request_id), 512)]
    return DigestReport(request.entry, request.pool, 20, 1 << 63, grown)


async def measure(
    request: PermitRequest | ProgressReport | DigestReport,
    reply: PermitReply | Ack | DigestReply,
    count: int,
) -> Cost:
    """Returns the cost of a call with the given messages."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    server = LinkServer(address)

    async def handle(_: object) -> PermitReply | Ack | DigestReply:
        return reply

    server.on(type(request), handle)
    links = Links(1)

    async def call_many() -> None:
        for _ in range(count // CALLERS):
            await links.call(address, request, type(reply), 10_000)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        await tasks.start(links.run)
        await links.call(address, request, type(reply), 10_000)
        began = time.process_time()
        async with anyio.create_task_group() as callers:
            for _ in range(CALLERS):
                callers.start_soon(call_many)
        cpu_s = time.process_time() - began
        tasks.cancel_scope.cancel()
    return Cost(
        message=type(request).__name__,
        calls=count,
        cpu_us=round(cpu_s / count * 1e6, 1),
        request_bytes=len(codec.encode(request)),
        reply_bytes=len(codec.encode(reply)),
    )


async def run(count: int) -> None:
    """Measures and prints the cost of each message type."""
    for request, reply in (
        (permit_request(), permit_reply()),
        (progress_report(), Ack()),
        (digest_report(), DigestReply()),
    ):
        cost = await measure(request, reply, count)
        sys.stdout.write(orjson.dumps(attrs.asdict(cost)).decode() + "\n")


def main() -> None:
    """Runs the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=10_000)
    count = parser.parse_args().calls
    anyio.run(run, count)


if __name__ == "__main__":
    main()
