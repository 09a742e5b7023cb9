"""Calls between processes with late, reordered or malformed replies."""

import asyncio
import random
import struct

import anyio
import zmq
import zmq.asyncio

from rhubarbwinch.admission.permits import PermitClient
from rhubarbwinch.links.links import Links, LinkServer
from rhubarbwinch.links.messages import (
    PermitGrant,
    PermitRelease,
    PermitReply,
    PermitRequest,
)
from rhubarbwinch.membership.members import Member, MemberNews, Members, Role
from rhubarbwinch.shared import codec
from rhubarbwinch.shared.exceptions import LinkError, LinkTimeout, PeerFailed
from rhubarbwinch.version import PROTOCOL_VERSION
from tests import builders
from tests.helpers import GoldTestCase, asynchronous, free_address

LONG_MS = 20_000
SHORT_MS = 50


class DelayingServer:
    """A server that delays the reply to a permit request until `open`."""

    def __init__(self):
        self.address = free_address()
        self.link_server = LinkServer(self.address)
        self.link_server.on(PermitRequest, self._reply)
        self.link_server.on(PermitRelease, self._release)
        self.received = []
        self.released = []
        self._reply_events = {}

    def open(self, request_id):
        self._reply_events.setdefault(request_id, anyio.Event()).set()

    async def until(self, check):
        while not check():
            await anyio.sleep(0.001)

    async def _reply(self, request):
        self.received.append(request.request_id)
        if request.account == "broken":
            raise RuntimeError("cannot")
        may_reply = self._reply_events.setdefault(
            request.request_id, anyio.Event()
        )
        await may_reply.wait()
        name = f"for-{request.request_id}"
        return PermitReply(PermitGrant(request.request_id, name, "127.0.0.1:1"))

    async def _release(self, release):
        self.released.append(f"{release.request_id} {release.end}")


def _members(address):
    """Returns the members of a deployment with one broker."""
    member = Member("broker-1", Role.BROKER, "dc-a", "r", 2, address, "")
    me = Member("entry-1", Role.ENTRY, "dc-a", "r", 1, "127.0.0.1:1", "")
    members = Members(me)
    members.merge(MemberNews(member))
    return members


class LinksTest(GoldTestCase):
    """Links to a server in the same process, over real sockets."""

    async def _run(self, session):
        """Runs a session with a server and links; returns both."""
        server, links = DelayingServer(), Links(1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.link_server.run)
            await tasks.start(links.run)
            await session(server, links, tasks)
            tasks.cancel_scope.cancel()
        return server, links

    async def _ask(self, server, links, request_id, timeout_ms, **fields):
        request = builders.permit_request(request_id, **fields)
        return await links.call(
            server.address, request, PermitReply, timeout_ms
        )

    @asynchronous
    async def test_reordered_replies_reach_their_calls(self):
        wrong, names = [], [f"r{i}" for i in range(200)]

        async def session(server, links, tasks):
            async def ask(name):
                reply = await self._ask(server, links, name, LONG_MS)
                if reply.grant.endpoint != f"for-{name}":
                    wrong.append(name)

            async with anyio.create_task_group() as calls:
                for name in names:
                    calls.start_soon(ask, name)
                await server.until(lambda: len(server.received) == len(names))
                order = random.Random(7).sample(names, len(names))
                for name in order:
                    server.open(name)

        _, links = await self._run(session)
        self.assertEqual(wrong, [])
        self.assertEqual(links.counters.unknown_replies, 0)

    @asynchronous
    async def test_late_replies_are_dropped_and_late_permits_released(self):
        lines = []

        async def session(server, links, tasks):
            permits = PermitClient(links, _members(server.address), SHORT_MS)
            late = builders.permit_request("late", wait_ms=0)
            reply = await permits.acquire_permit(late)
            lines.append(f"late: {reply.err_value.verdict}")
            with anyio.CancelScope() as scope:
                scope.deadline = anyio.current_time() + SHORT_MS / 1000
                await permits.acquire_permit(
                    builders.permit_request("cancelled")
                )
            lines.append(f"cancelled: {scope.cancelled_caught}")
            for name in ("cancelled", "late", "good"):
                server.open(name)
            await server.until(lambda: len(server.released) == 2)
            slow = PermitClient(links, _members(server.address), LONG_MS)
            good = await slow.acquire_permit(builders.permit_request("good"))
            lines.append(f"good: {good.ok_value.grant.endpoint}")
            lines.append(f"open permits: {len(permits.open_permits)}")

        server, links = await self._run(session)
        lines += [f"released: {line}" for line in sorted(server.released)]
        lines.append(f"dropped answers: {links.counters.unknown_replies}")
        self.assert_gold("late_permits", "\n".join(lines) + "\n")

    @asynchronous
    async def test_a_permit_that_arrives_during_cancellation_is_released(self):
        async def session(server, links, tasks):
            permits = PermitClient(links, _members(server.address), LONG_MS)
            request = builders.permit_request("r1")
            acquiring_task = asyncio.create_task(
                permits.acquire_permit(request)
            )
            deliver = links._deliver_reply

            def deliver_and_cancel(frames):
                deliver(frames)
                acquiring_task.cancel()

            links._deliver_reply = deliver_and_cancel
            server.open("r1")
            await server.until(lambda: server.released)

        server, _ = await self._run(session)
        self.assertEqual(server.released, ["r1 unused"])

    @asynchronous
    async def test_malformed_messages_and_other_versions_stop_neither_side(
        self,
    ):
        async def session(server, links, tasks):
            raw = zmq.asyncio.Context.instance().socket(zmq.DEALER)
            raw.connect(f"tcp://{server.address}")
            good = codec.encode(builders.permit_request("x"))
            other = struct.pack("!HQQ", PROTOCOL_VERSION + 1, 1, 1)
            own = struct.pack("!HQQ", PROTOCOL_VERSION, 1, 1)
            for frames in (
                [b""],
                [b"short", b"PermitRequest", good],
                [other, b"PermitRequest", good],
                [own, b"\xff\xfe", good],
                [own, b"Nothing", good],
                [own, b"PermitRequest", b"\xc1"],
            ):
                await raw.send_multipart(frames)
            await server.until(lambda: server.link_server.counters.refused == 6)
            raw.close(0)
            server.open("after")
            reply = await self._ask(server, links, "after", LONG_MS)
            self.assertEqual(reply.grant.endpoint, "for-after")

        server, _ = await self._run(session)
        self.assertEqual(server.received, ["after"])

    @asynchronous
    async def test_a_handler_that_raises_fails_only_its_own_call(self):
        async def session(server, links, tasks):
            with self.assertRaises(PeerFailed):
                await self._ask(server, links, "r1", LONG_MS, account="broken")
            server.open("r2")
            await self._ask(server, links, "r2", LONG_MS)

        server, _ = await self._run(session)
        self.assertEqual(server.link_server.counters.failed, 1)

    @asynchronous
    async def test_an_unsent_message_never_arrives_later(self):
        async with anyio.create_task_group() as tasks:
            server, links = DelayingServer(), Links(1)
            await tasks.start(links.run)
            with self.assertRaises(LinkError) as caught:
                await self._ask(server, links, "early", LONG_MS)
            self.assertNotIsInstance(caught.exception, LinkTimeout)
            tasks.start_soon(server.link_server.run)
            server.open("later")
            for _ in range(100):
                try:
                    await self._ask(server, links, "later", LONG_MS)
                    break
                except LinkError:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        self.assertEqual(server.received, ["later"])

    @asynchronous
    async def test_a_forgotten_peer_can_be_called_again(self):
        async def session(server, links, tasks):
            for name in ("r1", "r2"):
                server.open(name)
                await self._ask(server, links, name, LONG_MS)
                links.forget(server.address)

        server, _ = await self._run(session)
        self.assertEqual(server.received, ["r1", "r2"])

    @asynchronous
    async def test_malformed_replies_do_not_stop_the_receiving_task(self):
        address = free_address()
        router = zmq.asyncio.Context.instance().socket(zmq.ROUTER)
        router.bind(f"tcp://{address}")

        async def serve():
            peer, header, _, _ = await router.recv_multipart()
            body = codec.encode(PermitReply())
            foreign = struct.pack("!HQQ", PROTOCOL_VERSION, 99, 1)
            for frames in (
                [b"x"],
                [b"short", b"PermitReply", body],
                [foreign, b"PermitReply", body],
                [header[:-1] + b"\x09", b"\xff", body],
                [header, b"PermitReply", body],
            ):
                await router.send_multipart([peer, *frames])

        links = Links(1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve)
            await tasks.start(links.run)
            request = builders.permit_request("r1")
            reply = await links.call(address, request, PermitReply, LONG_MS)
            tasks.cancel_scope.cancel()
        router.close(0)
        self.assertIsNone(reply.grant)
        self.assertEqual(links.counters.refused, 4)
