"""Callers that stop reading, and endpoints that read no request body."""

import asyncio
import socket
import unittest
from unittest import mock

import anyio
import attrs

from lab.standins.platformengine import (
    ScriptedEngine,
    engine_headers,
    stream_event,
)
from rhubarbwinch.gateway import edge, gatewaymetrics
from rhubarbwinch.gateway.decisions.bufferlimits import HARD_FACTOR
from rhubarbwinch.gateway.routes import CallKind
from rhubarbwinch.shared.verdict import Reason
from tests import gatewaybuilders as build
from tests.gatewayharness import read_response, running_gateway
from tests.helpers import asynchronous, free_address

STREAM = build.table(
    build.route(CallKind.STREAM, timeout_ms=60_000),
    # All requests fit into the KV cache, so that none is refused.
    engine=attrs.evolve(build.ENGINE, kv_tokens=340_000),
)
PLAIN = build.table(
    build.route(CallKind.NON_IDEMPOTENT, timeout_ms=60_000), engine=None
)
EVENT_BYTES = 32 << 10
# More than the kernel's buffers of two connections hold.
LONG_EVENTS = 1_600
PAUSED_EVENTS = 400
# With this limit all callers together may hold 2 MiB.
SMALL_MEMORY_MB = 8
MEDIUM_MEMORY_MB = 40
ENDLESS = 30
TICK_S = 0.02


def _event(number):
    return b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)


class Generation:
    """Generates events as fast as the gateway reads them."""

    def __init__(self, count):
        self.count = count
        self.sent = 0
        self.unfinished = 0

    async def run(self, received_request, responder):
        """Responds to a request as an engine."""
        await responder.start_stream(200, engine_headers(received_request))
        self.unfinished += 1
        for number in range(1, self.count + 1):
            await responder.write(_event(number))
            self.sent += 1
        self.unfinished -= 1
        await responder.end_stream()


def _cuts(reason):
    name = "rhubarbwinch_slow_callers_cut_total"
    return gatewaymetrics.REGISTRY.get_sample_value(name, {"reason": reason})


async def _until(condition):
    while not condition():
        await anyio.sleep(TICK_S)


async def _until_settled(read):
    """Waits until a value has not changed for some time."""
    last, same = read(), 0
    while same < 10:
        await anyio.sleep(TICK_S)
        same = same + 1 if read() == last else 0
        last = read()


async def _read_all(reader, pause_s=0.0, size=1 << 20):
    """Reads a response in parts; returns its size and whether it ended whole.

    The response is not parsed: a whole stream ends with the last chunk.
    """
    total, tail = 0, b""
    try:
        while part := await reader.read(size):
            total += len(part)
            tail = (tail + part)[-5:]
            await anyio.sleep(pause_s)
    except ConnectionError:
        return total, False
    return total, tail == b"0\r\n\r\n"


class SlowReadersTest(unittest.TestCase):
    """Real sockets, scripted engines."""

    @asynchronous
    async def test_an_endpoint_is_not_read_while_the_caller_does_not_read(self):
        # Without backpressure the gateway would hold the whole stream.
        generation = Generation(LONG_EVENTS)
        async with running_gateway(1, STREAM) as gateway:
            gateway.engines[0].handler = generation.run
            reader, writer = await gateway.open()
            await _until(lambda: generation.sent)
            await _until_settled(lambda: generation.sent)
            self.assertLess(generation.sent, LONG_EVENTS)
            held = gateway.buffers.held_bytes
            self.assertGreater(held, gateway.buffers.limits.stream_bytes)
            self.assertLess(held, 4 * gateway.buffers.limits.stream_bytes)
            size, is_whole = await _read_all(reader)
            writer.close()
            await _until(lambda: not gateway.buffers.held_bytes)
        self.assertTrue(is_whole)
        self.assertGreater(size, LONG_EVENTS * EVENT_BYTES)

    @asynchronous
    async def test_callers_that_stall_are_cut_and_a_steady_one_is_not(self):
        # Each stalled caller holds several 100 KB within its own bound; only
        # the bound on their sum ends them, and it must spare the slow reader.
        generation = Generation(LONG_EVENTS)
        before = _cuts("memory") or 0
        async with running_gateway(1, STREAM) as gateway:
            gateway.buffers.configure(SMALL_MEMORY_MB)
            engine = gateway.engines[0]
            engine.handler = generation.run
            gateway.receive_buffer = 64 << 10
            steady, _ = await gateway.open("steady")
            found = []

            async def read_steadily():
                found.append(await _read_all(steady, 0.001, 64 << 10))

            async def read_to_end(reader, ends):
                ends.append(await _read_all(reader))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read_steadily)
                stalled = [await gateway.open(f"q{i}") for i in range(10)]
                await _until(lambda: engine.disconnects >= 4)
                await _until_settled(lambda: engine.disconnects)
                limits = gateway.buffers.limits
                self.assertLess(
                    gateway.buffers.held_bytes,
                    HARD_FACTOR * limits.total_bytes,
                )
            ends = []
            async with anyio.create_task_group() as tasks:
                for reader, _ in stalled:
                    tasks.start_soon(read_to_end, reader, ends)
            cut = (_cuts("memory") or 0) - before
            # A connection may close before the engine has noticed that its last
            # bytes were read, so only generations that were stopped count.
            stopped = generation.unfinished
        self.assertTrue(found[0][1])
        self.assertGreaterEqual(cut, 4)
        self.assertEqual([whole for _, whole in ends].count(False), cut)
        self.assertEqual(stopped, cut)

    @asynchronous
    async def test_a_caller_that_pauses_is_not_taken_as_dead(self):
        # The kernel's timeout for unacknowledged data also ended connections of
        # callers that acknowledged the probes of their closed window.
        generation = Generation(PAUSED_EVENTS)
        with mock.patch.object(edge, "CALLER_ACK_TIMEOUT_MS", 500):
            async with running_gateway(1, STREAM) as gateway:
                gateway.engines[0].handler = generation.run
                gateway.receive_buffer = 64 << 10
                reader, writer = await gateway.open()
                await anyio.sleep(3)
                gateway.edge.check_peers()
                self.assertLess(generation.sent, PAUSED_EVENTS)
                size, is_whole = await _read_all(reader)
                writer.close()
        self.assertTrue(is_whole)
        self.assertGreater(size, PAUSED_EVENTS * EVENT_BYTES)

    @asynchronous
    async def test_a_caller_whose_vm_is_dead_is_disconnected(self):
        generation = Generation(LONG_EVENTS)
        async with running_gateway(1, STREAM) as gateway:
            gateway.engines[0].handler = generation.run
            port = int(gateway.address.split(":")[1])
            with mock.patch.object(
                edge.peerliveness,
                "is_silent",
                lambda sock, limit_ms: sock.getsockname()[1] == port,
            ):
                reader, writer = await gateway.open()
                await _until(lambda: generation.unfinished)
                gateway.edge.check_peers()
                await _until(lambda: not gateway.edge.connections)
                _, is_whole = await _read_all(reader)
                writer.close()
        self.assertFalse(is_whole)

    @asynchronous
    async def test_responses_without_end_do_not_use_up_the_memory(self):
        # Each response had a bound of its own, but their sum had none.
        async def send_endlessly(received_request, responder):
            if received_request.id == "sound":
                await responder.send(
                    200, engine_headers(received_request), stream_event(1)
                )
                return
            await responder.start_stream(200, engine_headers(received_request))
            while True:
                await responder.write(bytes(EVENT_BYTES))
                await anyio.sleep(0)

        for table in (PLAIN, STREAM):
            found, largest = [], []
            async with running_gateway(1, table) as gateway:
                gateway.buffers.configure(MEDIUM_MEMORY_MB)
                gateway.engines[0].handler = send_endlessly
                limits = gateway.buffers.limits

                async def call(number, gateway=gateway, found=found):
                    found.append(await gateway.call(f"q{number}"))

                async def measure(gateway=gateway, largest=largest):
                    while True:
                        largest.append(gateway.buffers.held_bytes)
                        await anyio.sleep(0)

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(measure)
                    async with anyio.create_task_group() as calls:
                        for number in range(ENDLESS):
                            calls.start_soon(call, number)
                    tasks.cancel_scope.cancel()
                self.assertEqual(gateway.buffers.held_bytes, 0)
                sound = await gateway.call("sound")
            with self.subTest(kind=table.find_route("h.example", "/r/x").kind):
                self.assertEqual({r.status for r in found}, {502})
                self.assertEqual(sound.status, 200)
                # All connections may be read once before the first one ends.
                self.assertLess(
                    max(largest),
                    limits.total_bytes + ENDLESS * limits.stream_bytes,
                )

    @asynchronous
    async def test_a_cut_caller_sees_a_reset(self):
        # An orderly end would look complete to a caller of HTTP/1.0.
        async with running_gateway(1, PLAIN) as gateway:
            gateway.receive_buffer = 4 << 10

            async def send_long(received_request, responder):
                headers = engine_headers(received_request)
                await responder.send(200, headers, bytes(7 << 20))

            gateway.engines[0].handler = send_long
            before = _cuts("memory") or 0
            reader, _ = await gateway.open()
            await _until(lambda: gateway.engines[0].received)
            await _until(lambda: not gateway.transport.buffers.held)
            await _until(lambda: gateway.buffers.held_bytes)
            gateway.buffers.configure(SMALL_MEMORY_MB)
            await _until(lambda: (_cuts("memory") or 0) > before)
            with self.assertRaises(ConnectionResetError):
                while await reader.read(1 << 20):
                    pass
            await _until(lambda: not gateway.buffers.held_bytes)

    @asynchronous
    async def test_a_reader_of_some_bytes_ends_at_its_deadline(self):
        # A caller that reads a byte now and then is never the longest unread,
        # and would otherwise keep a response that is complete here for ever.
        async def send_long(received_request, responder):
            headers = engine_headers(received_request)
            await responder.send(200, headers, bytes(7 << 20))

        for table, handler in (
            (PLAIN, send_long),
            (STREAM, Generation(LONG_EVENTS).run),
        ):
            async with running_gateway(1, table) as gateway:
                gateway.receive_buffer = 4 << 10
                gateway.engines[0].handler = handler
                reader, writer = await gateway.open(Deadline_Ms="900")
                writer.transport.pause_reading()
                sock = socket.fromfd(
                    writer.get_extra_info("socket").fileno(),
                    socket.AF_INET,
                    socket.SOCK_STREAM,
                )
                await _until(lambda g=gateway: g.buffers.held_bytes)
                kind = table.find_route("h.example", "/r/x").kind
                with self.subTest(kind=kind), anyio.fail_after(20):
                    size = 0
                    while gateway.buffers.held_bytes:
                        await anyio.sleep(TICK_S)
                        try:
                            size += len(sock.recv(2048))
                        except BlockingIOError:
                            continue
                        except ConnectionError:
                            break
                    sock.close()
                    writer.transport.resume_reading()
                    rest, is_whole = await _read_all(reader)
                    size += rest
                    self.assertLess(size, 7 << 20)
                    self.assertFalse(is_whole)

    @asynchronous
    async def test_a_body_over_the_bound_is_refused_before_it_is_read(self):
        # A body that is read whole before it is refused has used the memory.
        async with running_gateway(1, PLAIN) as gateway:
            gateway.buffers.configure(SMALL_MEMORY_MB)
            found = await gateway.call(Content_Length="3000000")
            reader, writer = await gateway.open(Transfer_Encoding="chunked")
            for _ in range(30):
                writer.write(b"10000\r\n" + bytes(1 << 16) + b"\r\n")
            chunked = await read_response(reader)
            writer.close()
            await _until(lambda: not gateway.buffers.held_bytes)
            late = await self._send_all_after_refusal(gateway)
            small = await gateway.call(Content_Length="0")
        for response in (found, chunked, late):
            self.assertEqual(response.status, 503)
            self.assertIn("retry-after", response.headers)
            self.assertTrue(response.is_complete)
        self.assertEqual(small.status, 200)
        self.assertEqual(len(gateway.received), 1)

    async def _send_all_after_refusal(self, gateway):
        """Returns the refusal to a caller that sends its body before it reads.

        A connection that is closed with unread bytes is reset, and the caller
        would lose the refusal.
        """
        refused = gatewaymetrics.REQUESTS.labels("-", Reason.QUEUE_FULL)
        before = refused._value.get()
        reader, writer = await gateway.open(Content_Length="3000000")
        writer.transport.pause_reading()
        await _until(lambda: refused._value.get() > before)
        for _ in range(30):
            writer.write(bytes(100_000))
            await anyio.sleep(0)
        await anyio.sleep(TICK_S)
        writer.transport.resume_reading()
        try:
            return await read_response(reader)
        finally:
            writer.close()

    @asynchronous
    async def test_a_body_that_an_endpoint_does_not_read_counts_and_ends(self):
        # The endpoint accepts the connection and reads nothing. Bodies for it
        # would add up without being counted.
        size = 3 << 20
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 10)
            address = free_address()
            host, port = address.split(":")
            listener.bind((host, int(port)))
            listener.listen()
            async with running_gateway(0, PLAIN) as gateway:
                gateway.apply_registration(ScriptedEngine("e1", address, "svc"))
                reader, writer = await gateway.open(
                    Content_Length=str(size), Deadline_Ms="1500"
                )
                writer.write(bytes(size))
                response = asyncio.ensure_future(read_response(reader))
                await _until(lambda: gateway.buffers.held_bytes >= size)
                found = await response
                writer.close()
                await _until(lambda: not gateway.buffers.held_bytes)
        self.assertEqual(found.status, 504)
