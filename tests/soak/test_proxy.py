"""Tests of the proxy that injects network faults."""

import contextlib
import unittest

import anyio

from lab.soak.proxy import LoopbackProxy
from tests.helpers import asynchronous, free_address

# A held-back direction delivers nothing in this time. The tests then wait
# without a time limit for the data to arrive.
QUIET_S = 0.1


@contextlib.asynccontextmanager
async def echo_behind_proxy():
    """Yields a proxy in front of an echo server, and a connection to it."""
    target, address = free_address(), free_address()

    async def echo(stream):
        ends = (anyio.EndOfStream, anyio.BrokenResourceError)
        async with stream:
            with contextlib.suppress(*ends):
                while True:
                    await stream.send(await stream.receive())

    host, port = target.split(":")
    proxy = LoopbackProxy(address, target)
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=int(port)
    )
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, echo)
        tasks.start_soon(proxy.run)
        await anyio.wait_all_tasks_blocked()
        host, port = address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            yield proxy, stream
        tasks.cancel_scope.cancel()


async def is_silent(stream):
    """Returns whether nothing arrives for QUIET_S."""
    with anyio.move_on_after(QUIET_S) as scope:
        await stream.receive()
    return scope.cancelled_caught


class LoopbackProxyTest(unittest.TestCase):
    """Connections through the proxy to an echo server."""

    @asynchronous
    async def test_data_passes_both_ways_without_faults(self):
        async with echo_behind_proxy() as (_, stream):
            await stream.send(b"abc")
            self.assertEqual(await stream.receive(), b"abc")

    @asynchronous
    async def test_a_cut_direction_holds_data_back_until_it_heals(self):
        for side in ("is_cut_to_target", "is_cut_from_target"):
            async with echo_behind_proxy() as (proxy, stream):
                setattr(proxy.faults, side, True)
                await stream.send(b"abc")
                self.assertTrue(await is_silent(stream))
                proxy.heal()
                self.assertEqual(await stream.receive(), b"abc")

    @asynchronous
    async def test_a_reset_closes_only_open_connections(self):
        async with echo_behind_proxy() as (proxy, stream):
            await stream.send(b"abc")
            await stream.receive()
            proxy.reset()
            with self.assertRaises(
                (anyio.EndOfStream, anyio.BrokenResourceError)
            ):
                await stream.receive()
            host, port = proxy.address.split(":")
            async with await anyio.connect_tcp(host, int(port)) as other:
                await other.send(b"def")
                self.assertEqual(await other.receive(), b"def")

    @asynchronous
    async def test_a_reset_skips_a_side_that_is_already_closed(self):
        async with echo_behind_proxy() as (proxy, stream):
            await stream.send(b"abc")
            await stream.receive()
            # The caller's side is closed, but the proxy has not noticed yet.
            for streams in proxy._connections.values():
                await streams[0].aclose()
            proxy.reset()
            with self.assertRaises(
                (anyio.EndOfStream, anyio.BrokenResourceError)
            ):
                await stream.receive()

    @asynchronous
    async def test_extra_bytes_follow_the_next_chunk_from_the_target(self):
        async with echo_behind_proxy() as (proxy, stream):
            proxy.faults.extra_bytes = b"stray"
            await stream.send(b"abc")
            self.assertEqual(await stream.receive(), b"abcstray")
            self.assertTrue(proxy.is_healthy)
