"""Tests the HTTP server for callers on a real socket."""

import asyncio
import random
import unittest
from contextlib import asynccontextmanager

import anyio

from rhubarbwinch.gateway.edge import EdgeServer
from rhubarbwinch.gateway.routes import HttpLimits
from rhubarbwinch.shared.clock import SystemClock
from tests.helpers import asynchronous, free_address

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class Edge:
    """A server with an echo handler, and the requests that it received."""

    def __init__(self):
        self.address = free_address()
        self.seen = []
        self.cancelled = anyio.Event()
        self.handler = self.echo
        self.server = EdgeServer(self.address, self._handle, SystemClock())

    async def _handle(self, request, responder):
        self.seen.append(request)
        await self.handler(request, responder)

    async def echo(self, request, responder):
        body = request.method.encode() + b" " + request.target + request.body
        await responder.send(200, [], body)

    async def hang(self, request, responder):
        try:
            await anyio.sleep_forever()
        finally:
            self.cancelled.set()

    async def connect(self):
        host, port = self.address.split(":")
        return await asyncio.open_connection(host, int(port))

    async def talk(self, data):
        """Sends bytes; returns all bytes received until the close."""
        reader, writer = await self.connect()
        writer.write(data)
        writer.write_eof() if not data else None
        try:
            return await reader.read()
        finally:
            writer.close()


@asynccontextmanager
async def edge(limits=None):
    """Runs a server."""
    found = Edge()
    if limits is not None:
        found.server.status.limits = limits
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(found.server.run)
        await anyio.wait_all_tasks_blocked()
        try:
            yield found
        finally:
            tasks.cancel_scope.cancel()


async def _read_response(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    size = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
    return head, await reader.readexactly(size)


class EdgeTest(unittest.TestCase):
    """One server on a real socket."""

    @asynchronous
    async def test_requests_on_one_connection_get_their_own_responses(self):
        async with edge() as server:
            reader, writer = await server.connect()
            for data in (
                GET + b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n",
                b"POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz",
                b"POST /d HTTP/1.1\r\nHost: h\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
                b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            ):
                writer.write(data)
            found = [(await _read_response(reader))[1] for _ in range(4)]
            writer.close()
        self.assertEqual(
            found, [b"GET /a", b"GET /b", b"POST /cxyz", b"POST /dabc"]
        )

    @asynchronous
    async def test_ambiguous_requests_are_refused(self):
        smuggled = b"GET /evil HTTP/1.1\r\nHost: h\r\n\r\n"
        cases = [
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            b"Content-Length: 5\r\n\r\nabcde" + smuggled,
            b"POST /a HTTP/1.1\r\nHost: h\r\n"
            b"Transfer-Encoding: xchunked\r\n\r\n" + smuggled,
            b"POST /a HTTP/1.1\r\nHost : h\r\n\r\n" + smuggled,
            b"\x16\x03\x01\x02\x00\x01\x00" + smuggled,
            b"POST /a HTTP/1.1\r\nHost: h\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n-1\r\n" + smuggled,
        ]
        async with edge() as server:
            for data in cases:
                response = await server.talk(data)
                self.assertIn(response[9:10], (b"4", b"5", b""), data)
            paths = {request.target for request in server.seen}
        self.assertNotIn(b"/evil", paths)

    @asynchronous
    async def test_a_request_inside_a_body_is_not_parsed(self):
        inner = b"GET /evil HTTP/1.1\r\nHost: h\r\n\r\n"
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        data = head + b"Content-Length: %d\r\n\r\n" % len(inner) + inner
        async with edge() as server:
            response = await server.talk(data)
            self.assertTrue(response.endswith(b"POST /a" + inner))
            self.assertEqual(len(server.seen), 1)

    @asynchronous
    async def test_requests_over_the_limits_are_refused(self):
        limits = HttpLimits(max_head_bytes=500, max_body_bytes=10)
        long_head = b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 900
        post = b"POST /a HTTP/1.1\r\nHost: h\r\n"
        async with edge(limits) as server:
            self.assertIn(b" 431 ", await server.talk(long_head))
            announced = post + b"Content-Length: 11\r\n\r\n"
            self.assertIn(b" 413 ", await server.talk(announced))
            chunked = post + b"Transfer-Encoding: chunked\r\n\r\nb\r\n"
            response = await server.talk(chunked + b"x" * 11 + b"\r\n")
            self.assertIn(b" 413 ", response)
            self.assertEqual(server.seen, [])

    @asynchronous
    async def test_a_head_that_comes_too_slowly_is_refused(self):
        async with edge(HttpLimits(head_timeout_ms=50)) as server:
            response = await server.talk(b"GET /a HTTP/1.1\r\n")
            self.assertIn(b" 408 ", response)

    @asynchronous
    async def test_an_idle_connection_is_closed_without_a_response(self):
        async with edge(HttpLimits(idle_timeout_ms=50)) as server:
            reader, writer = await server.connect()
            self.assertEqual(await reader.read(), b"")
            writer.close()

    @asynchronous
    async def test_the_handler_is_cancelled_when_the_caller_disconnects(self):
        async with edge() as server:
            server.handler = server.hang
            _, writer = await server.connect()
            writer.write(GET)
            while not server.seen:
                await anyio.lowlevel.checkpoint()
            writer.close()
            await server.cancelled.wait()
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(server.server.status.open_requests, 0)

    @asynchronous
    async def test_a_stream_that_ends_early_does_not_look_complete(self):
        async def broken(request, responder):
            await responder.start_stream(200, [])
            await responder.write(b"id: 1\n\n")

        async with edge() as server:
            server.handler = broken
            reader, writer = await server.connect()
            writer.write(GET)
            with self.assertRaises(ConnectionError):
                data = await reader.read()
                if not data.endswith(b"0\r\n\r\n"):
                    raise ConnectionResetError
            writer.close()

    @asynchronous
    async def test_a_handler_that_fails_ends_its_connection_only(self):
        async def fail(request, responder):
            raise RuntimeError("a fault")

        async with edge() as server:
            server.handler = fail
            reader, writer = await server.connect()
            writer.write(GET)
            with self.assertRaises(ConnectionError):
                if not await reader.read():
                    raise ConnectionResetError
            writer.close()
            server.handler = server.echo
            closing = GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
            self.assertIn(b"GET /a", await server.talk(closing))

    @asynchronous
    async def test_a_connection_closes_after_its_response_while_draining(self):
        async with edge() as server:
            server.server.status.is_closing = True
            response = await server.talk(GET)
            self.assertIn(b"Connection: close", response)

    @asynchronous
    async def test_no_request_is_read_that_the_end_of_a_drain_would_cut(self):
        # A request on a connection that was idle was read shortly before the
        # process ended, and its caller got no response.
        started, proceed = anyio.Event(), anyio.Event()

        async def wait(request, responder):
            started.set()
            await proceed.wait()
            await responder.send(200, [], b"served")

        async with edge() as server:
            server.handler = wait
            idle_reader, idle_writer = await server.connect()
            reader, writer = await server.connect()
            writer.write(GET)
            await started.wait()
            while not server.server.idle:
                await anyio.sleep(0.01)
            server.server.stop_reading_requests()
            # Far less than the time after which idle connections are closed.
            with anyio.fail_after(5):
                self.assertEqual(await idle_reader.read(), b"")
            idle_writer.close()
            with self.assertRaises(OSError):
                await server.connect()
            proceed.set()
            _, body = await _read_response(reader)
            self.assertEqual(body, b"served")
            writer.close()

    @asynchronous
    async def test_random_bytes_never_reach_the_handler_as_another_request(
        self,
    ):
        valid = b"POST /ok HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nGET "
        async with edge(
            HttpLimits(head_timeout_ms=30, idle_timeout_ms=30)
        ) as server:
            for seed in range(120):
                rng = random.Random(seed)
                data = bytearray(valid * 2)
                for _ in range(rng.randrange(1, 4)):
                    position = rng.randrange(len(data))
                    action = rng.randrange(3)
                    if action == 0:
                        data[position] = rng.randrange(256)
                    elif action == 1:
                        del data[position]
                    else:
                        data[position:position] = rng.choice(
                            [b"\r\n", b"\n", b"\x00", b": ", b"0", b" "]
                        )
                await server.talk(bytes(data))
            for request in server.seen:
                # A changed byte may result in another path, but the body of a
                # request must never be read as the first line of a request.
                self.assertNotEqual(request.method, "GET")
