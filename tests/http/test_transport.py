"""The transport against a server that sends scripted bytes."""

import asyncio
import socket
import struct
import unittest

import h11
import httpx

from rhubarbwinch.http.buffercount import MAX_BUFFERED_BYTES
from rhubarbwinch.http.httpbody import make_body
from rhubarbwinch.http.transport import (
    Transport,
    TransportOptions,
)
from tests.helpers import asynchronous, free_address

CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
TWO_CHUNKS = b"5;x=1\r\nhello\r\n6\r\n world\r\n0\r\ntrailer: 1\r\n\r\n"
SIZED = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class ScriptedServer:
    """A server that responds to the n-th request with the n-th list of parts.

    A part is bytes to send or an event to wait for; None closes the connection.
    """

    def __init__(self, *responses):
        self.responses = list(responses)
        self.connections = 0
        self.requests = []
        self.sent = 0

    async def __aenter__(self):
        self.address = free_address()
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.client = httpx.AsyncClient(transport=Transport(), timeout=20)
        self.url = f"http://{self.address}/"
        return self

    async def __aexit__(self, *_):
        await self.client.aclose()
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().lower().split("\r\n")
                sizes = [x for x in lines if x.startswith("content-length")]
                size = int(sizes[0].split(":")[1]) if sizes else 0
                body = await reader.readexactly(size)
                self.requests.append(f"{lines[0]} {body.decode()}".strip())
                for part in self.responses.pop(0):
                    if part is None:
                        return
                    if isinstance(part, asyncio.Event):
                        await part.wait()
                        continue
                    writer.write(part)
                    await writer.drain()
                    self.sent += len(part)
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            # The client has disconnected or the test has ended.
            return
        finally:
            writer.close()


class TransportTest(unittest.TestCase):
    """Requests, connection reuse, time-outs and malformed responses."""

    @asynchronous
    async def test_complete_responses_share_a_connection(self):
        async with ScriptedServer(
            [CHUNKED + TWO_CHUNKS], [SIZED], [CHUNKED, TWO_CHUNKS]
        ) as server:
            texts = []
            for i in range(3):
                response = await server.client.post(server.url, content=f"b{i}")
                texts.append(response.text)
        self.assertEqual(texts, ["hello world", "ok", "hello world"])
        self.assertEqual(server.connections, 1)
        self.assertEqual(
            server.requests, [f"post / http/1.1 b{i}" for i in range(3)]
        )

    def test_a_body_is_the_same_however_reads_split_it(self):
        head = h11.Response(
            status_code=200, headers=[("transfer-encoding", "chunked")]
        )
        for first in range(len(TWO_CHUNKS)):
            for second in range(first, len(TWO_CHUNKS)):
                body = make_body(b"GET", head)
                found = body.feed(TWO_CHUNKS[:first])
                found += body.feed(TWO_CHUNKS[first:second])
                self.assertFalse(body.is_complete)
                found += body.feed(TWO_CHUNKS[second:])
                self.assertEqual(found, b"hello world")
                self.assertTrue(body.is_complete)

    def test_malformed_chunks_are_refused(self):
        head = h11.Response(
            status_code=200, headers=[("transfer-encoding", "chunked")]
        )
        for data in (
            b"-1\r\n",
            b"0x5\r\nhello\r\n",
            b"1_0\r\n",
            b"fffffff\r\n",
            b"\r\n",
            b"5\r\nhelloXX",
            b"1" * 5000,
        ):
            with self.assertRaises(ValueError, msg=data[:8]):
                make_body(b"GET", head).feed(data)

    @asynchronous
    async def test_a_connection_is_not_used_again_after_a_fault(self):
        cases = [
            [CHUNKED + b"5\r\nhel", None],
            [b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort", None],
            [CHUNKED + b"zz\r\n"],
            [b"no HTTP at all\r\n\r\n"],
            [b"HTTP/1.1 200 OK\r\nx: " + b"y" * (1 << 20)],
            [None],
        ]
        for steps in cases:
            async with ScriptedServer(steps, [SIZED]) as server:
                with self.assertRaises(
                    httpx.TransportError, msg=steps
                ) as caught:
                    await server.client.get(server.url)
                self.assertNotIsInstance(caught.exception, httpx.ConnectError)
                self.assertEqual(
                    (await server.client.get(server.url)).text, "ok"
                )
            self.assertEqual(server.connections, 2)

    @asynchronous
    async def test_more_bytes_than_announced_end_the_connection(self):
        async with ScriptedServer([SIZED + b"extra"], [SIZED]) as server:
            for _ in range(2):
                self.assertEqual(
                    (await server.client.get(server.url)).text, "ok"
                )
        self.assertEqual(server.connections, 2)

    @asynchronous
    async def test_the_close_of_the_connection_can_delimit_a_body(self):
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        async with ScriptedServer([head + b"all", b" of it", None]) as server:
            response = await server.client.get(server.url)
        self.assertEqual(response.text, "all of it")

    @asynchronous
    async def test_silence_before_or_within_a_response_is_a_timeout(self):
        never = asyncio.Event()
        for steps in ([never], [CHUNKED + b"5\r\nhello\r\n", never]):
            async with ScriptedServer(steps) as server:
                with self.assertRaises(httpx.ReadTimeout):
                    await server.client.get(server.url, timeout=0.05)
                never.set()

    @asynchronous
    async def test_without_a_connection_nothing_was_sent(self):
        client = httpx.AsyncClient(transport=Transport())
        with self.assertRaises(httpx.ConnectError):
            await client.get(f"http://{free_address()}/")
        await client.aclose()

    @asynchronous
    async def test_a_cancelled_reader_closes_its_connection(self):
        async with ScriptedServer(
            [CHUNKED + b"5\r\nhello\r\n", asyncio.Event()]
        ) as server:
            server.responses[0].insert(1, b"1\r\nx\r\n")
            async with server.client.stream("GET", server.url) as response:
                async for _ in response.aiter_raw():
                    break
            # The connection was closed, since its body had not ended.
            self.assertEqual(server.client._transport._idle_count, 0)

    @asynchronous
    async def test_a_slow_reader_slows_the_sender(self):
        size = 64 << 10
        chunk = b"%x\r\n%b\r\n" % (size, b"z" * size)
        count = 1000
        steps = [CHUNKED, *[chunk] * count, b"0\r\n\r\n"]
        async with ScriptedServer(steps) as server:
            async with server.client.stream("GET", server.url) as response:
                body = response.stream.__aiter__()
                total = len(await anext(body))
                before = -1
                while server.sent != before:
                    before = server.sent
                    await asyncio.sleep(0.05)
                self.assertLess(server.sent, count * size)
                largest = len(await anext(body))
                total += largest
                async for data in body:
                    total += len(data)
        self.assertEqual(total, count * size)
        self.assertLess(largest, MAX_BUFFERED_BYTES + 8 * size)


class StaleResponseTest(unittest.TestCase):
    """Responses to other requests, and bodies that are cut off by a reset."""

    def _request(self, server, name):
        def is_mine(head):
            return dict(head.headers).get(b"x-id") == name.encode()

        return server.client.build_request(
            "GET", server.url, extensions={"is_answer": is_mine}
        )

    def _response(self, name):
        head = f"HTTP/1.1 200 OK\r\nx-id: {name}\r\ncontent-length: 2\r\n\r\n"
        return head.encode() + name.encode()

    @asynchronous
    async def test_responses_to_earlier_requests_are_skipped(self):
        stale, expected = self._response("aa"), self._response("bb")
        async with ScriptedServer(
            [stale, stale + expected], [expected]
        ) as server:
            for _ in range(2):
                request = self._request(server, "bb")
                found = await server.client.send(request)
                self.assertEqual(found.text, "bb")
        self.assertEqual(server.connections, 1)

    @asynchronous
    async def test_a_request_that_gets_only_stale_responses_fails(self):
        async with ScriptedServer([self._response("aa"), None]) as server:
            with self.assertRaises(httpx.TransportError):
                await server.client.send(self._request(server, "bb"))

    @asynchronous
    async def test_a_body_without_a_length_is_incomplete_after_a_reset(self):
        head = b"HTTP/1.1 200 OK\r\n\r\npart"

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head)
            await writer.drain()
            await may_reset.wait()
            sock = writer.get_extra_info("socket")
            # With a linger time of 0, closing resets the connection.
            option = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
            writer.transport.abort()

        may_reset = asyncio.Event()
        address = free_address()
        host, port = address.split(":")
        server = await asyncio.start_server(serve, host, int(port))
        client = httpx.AsyncClient(transport=Transport(), timeout=20)
        async with client.stream("GET", f"http://{address}/") as found:
            parts = found.aiter_raw()
            self.assertEqual(await anext(parts), b"part")
            may_reset.set()
            with self.assertRaises(httpx.TransportError):
                await anext(parts)
        await client.aclose()
        server.close()

    @asynchronous
    async def test_a_request_may_demand_a_new_connection(self):
        async with ScriptedServer([SIZED], [SIZED], [SIZED]) as server:
            await server.client.get(server.url)
            await server.client.get(server.url)
            fresh_request = server.client.build_request(
                "GET", server.url, extensions={"max_idle_s": 0}
            )
            await server.client.send(fresh_request)
        self.assertEqual(server.connections, 2)


class EndlessServerTest(unittest.TestCase):
    """A server that sends bytes without end."""

    @asynchronous
    async def test_a_head_without_end_fails(self):
        part = b"x-more: " + b"m" * 4_000 + b"\r\n"
        endless = [b"HTTP/1.1 200 OK\r\n", *[part] * 5_000]
        async with ScriptedServer(endless) as server:
            with self.assertRaises(httpx.RemoteProtocolError):
                await server.client.get(server.url)
            # What the buffers of the connection hold is sent as well.
            self.assertLess(server.sent, 2_500 * len(part))

    @asynchronous
    async def test_a_bounded_body_without_end_fails(self):
        part = b"1000\r\n" + bytes(4_096) + b"\r\n"
        async with ScriptedServer([CHUNKED, *[part] * 20_000]) as server:
            with self.assertRaises(httpx.RemoteProtocolError):
                await server.client.get(
                    server.url, extensions={"max_body_bytes": 100_000}
                )
            self.assertLess(server.sent, 20_000 * 4_096)

    @asynchronous
    async def test_bytes_after_a_body_are_not_collected(self):
        # They were kept until the body was read to its end, which a caller that
        # reads slowly delays.
        part = bytes(64 << 10)
        async with ScriptedServer([CHUNKED + TWO_CHUNKS, *[part] * 500]) as (
            server
        ):
            async with server.client.stream("GET", server.url) as response:
                before = -1
                while server.sent != before:
                    before = server.sent
                    await asyncio.sleep(0.2)
                self.assertLess(server.sent, 500 * len(part))
                connection = response.stream._stream._connection
                self.assertLess(len(connection._body.rest), 1 << 20)
                await response.aread()
                self.assertEqual(response.content, b"hello world")


class SlowServerTest(unittest.TestCase):
    """A server that reads nothing for a while."""

    @asynchronous
    async def test_an_endpoint_that_pauses_in_a_body_is_not_taken_as_dead(self):
        # The kernel's timeout for unacknowledged data also ended connections to
        # endpoints that acknowledged the probes of their closed window.
        body = bytes(4 << 20)
        host, port = free_address().split(":")
        sizes = []

        async def serve(reader, writer):
            for _ in range(2):
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(
                    head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]
                )
                if size:
                    await asyncio.sleep(2.5)
                sizes.append(len(await reader.readexactly(size)))
                writer.write(SIZED)
            writer.close()

        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 10)
            listener.bind((host, int(port)))
            server = await asyncio.start_server(serve, sock=listener, limit=512)
            transport = Transport(TransportOptions(dead_peer_ms=500))
            async with (
                server,
                httpx.AsyncClient(transport=transport, timeout=20) as client,
            ):
                for content in (body, b""):
                    found = await client.post(
                        f"http://{host}:{port}/", content=content
                    )
                    self.assertEqual(found.content, b"ok")
        self.assertEqual(sizes, [len(body), 0])
        self.assertEqual(transport.new_connections, 1)
