"""Tests of links between peers with the same, another or no key pair."""

import os
import unittest
from unittest import mock

import anyio
import attrs
import httpx

from rhubarbwinch.links.links import Links, LinkServer
from rhubarbwinch.records.secretkeys import make_link_keys
from rhubarbwinch.shared.exceptions import LinkError
from tests.fleet import AUTHORIZATION, Fleet
from tests.helpers import asynchronous, free_address, wait_until

REPLY_TIMEOUT_MS = 5000
NO_REPLY_TIMEOUT_MS = 300


@attrs.frozen
class Ping:
    """A request message."""

    text: str


@attrs.frozen
class Pong:
    """The reply to `Ping`."""

    text: str


async def _reply(ping):
    return Pong(ping.text)


class LinkKeysTest(unittest.TestCase):
    """A link server with a key pair, called by several peers."""

    async def _call_until_reply(self, address, keys):
        """Repeats the call until the server is up; a hang fails the test."""
        while True:
            reply = await self._call(address, keys, REPLY_TIMEOUT_MS)
            if reply is not None:
                return reply

    async def _call(self, address, keys, timeout_ms):
        links = Links(7, keys)
        async with anyio.create_task_group() as tasks:
            await tasks.start(links.run)
            try:
                pong = await links.call(
                    address, Ping("hello"), Pong, timeout_ms
                )
                return pong.text
            except LinkError:
                return None
            finally:
                tasks.cancel_scope.cancel()

    @asynchronous
    async def test_only_peers_with_the_same_key_pair_get_replies(self):
        keys, address = make_link_keys(), free_address()
        server = LinkServer(address, keys)
        calls = []

        async def reply(ping):
            calls.append(ping)
            return await _reply(ping)

        server.on(Ping, reply)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            self.assertEqual(
                await self._call_until_reply(address, keys), "hello"
            )
            other_keys = make_link_keys()
            for peer in (other_keys, None):
                self.assertIsNone(
                    await self._call(address, peer, NO_REPLY_TIMEOUT_MS)
                )
            self.assertEqual(
                await self._call_until_reply(address, keys), "hello"
            )
            tasks.cancel_scope.cancel()
        self.assertEqual(len(calls), 2)

    @asynchronous
    async def test_a_server_with_keys_can_be_started_again(self):
        keys = make_link_keys()
        for _ in range(2):
            # Uses a new address each time, because the kernel may still hold
            # the first port. In production the supervisor waits instead.
            address = free_address()
            server = LinkServer(address, keys)
            server.on(Ping, _reply)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.run)
                reply = await self._call_until_reply(address, keys)
                self.assertEqual(reply, "hello")
                tasks.cancel_scope.cancel()

    def test_the_secret_is_not_in_the_repr(self):
        keys = make_link_keys()
        self.assertNotIn(keys.secret, repr(keys))


class ProcessesTest(unittest.TestCase):
    """A deployment of separate processes whose links use a key pair."""

    def test_requests_are_served_and_a_program_without_keys_is_ignored(self):
        keys = make_link_keys()
        variables = {
            "RHUBARBWINCH_LINK_PUBLIC_KEY": keys.public,
            "RHUBARBWINCH_LINK_SECRET_KEY": keys.secret,
        }
        keyless_entry = free_address()
        body = {"model": "chat", "prompt": "len=3"}
        statuses = []
        with mock.patch.dict(os.environ, variables), Fleet() as fleet:
            with mock.patch.dict(os.environ):
                for name in variables:
                    del os.environ[name]
                fleet.start_role("entry", "bare", keyless_entry)
            # The entry without keys reads its configuration from the store,
            # so it becomes ready, but no broker accepts its messages.
            url = f"http://{keyless_entry}/readyz"
            wait_until(lambda: httpx.get(url).is_success, "the bare entry")
            for address in (fleet.entries[0], keyless_entry):
                response = httpx.post(
                    f"http://{address}/v1/completions",
                    json=body,
                    headers=AUTHORIZATION,
                    timeout=20,
                )
                statuses.append(response.status_code)
                verdict = response.headers.get("x-verdict")
        self.assertEqual((statuses, verdict), ([200, 503], "not-run"))
