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

ANSWER_MS = 5000
SILENCE_MS = 300


@attrs.frozen
class Ping:
    """A request message."""

    text: str


@attrs.frozen
class Pong:
    """The reply to `Ping`."""

    text: str


async def _answer(ping):
    return Pong(ping.text)


class LinkKeysTest(unittest.TestCase):
    """A link server with a key pair, called by several peers."""

    async def _ask_until_answered(self, address, keys):
        """Repeats the call until the server is up; a hang fails the test."""
        while True:
            answer = await self._ask(address, keys, ANSWER_MS)
            if answer is not None:
                return answer

    async def _ask(self, address, keys, timeout_ms):
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
    async def test_only_peers_with_the_same_key_pair_are_answered(self):
        keys, address = make_link_keys(), free_address()
        server = LinkServer(address, keys)
        calls = []

        async def answer(ping):
            calls.append(ping)
            return await _answer(ping)

        server.on(Ping, answer)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            self.assertEqual(
                await self._ask_until_answered(address, keys), "hello"
            )
            stranger = make_link_keys()
            for peer in (stranger, None):
                self.assertIsNone(await self._ask(address, peer, SILENCE_MS))
            self.assertEqual(
                await self._ask_until_answered(address, keys), "hello"
            )
            tasks.cancel_scope.cancel()
        self.assertEqual(len(calls), 2)

    @asynchronous
    async def test_the_keys_can_be_served_again_after_a_failure(self):
        keys = make_link_keys()
        for _ in range(2):
            # Uses a new address each time, because the kernel may still hold
            # the first port. In production the supervisor waits instead.
            address = free_address()
            server = LinkServer(address, keys)
            server.on(Ping, _answer)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.run)
                answer = await self._ask_until_answered(address, keys)
                self.assertEqual(answer, "hello")
                tasks.cancel_scope.cancel()

    def test_the_secret_is_not_shown(self):
        keys = make_link_keys()
        self.assertNotIn(keys.secret, repr(keys))


class ProcessesTest(unittest.TestCase):
    """A deployment of separate processes whose links use a key pair."""

    def test_requests_are_served_and_a_program_without_keys_is_not_heard(self):
        keys = make_link_keys()
        variables = {
            "RHUBARBWINCH_LINK_PUBLIC_KEY": keys.public,
            "RHUBARBWINCH_LINK_SECRET_KEY": keys.secret,
        }
        bare = free_address()
        body = {"model": "chat", "prompt": "len=3"}
        statuses = []
        with mock.patch.dict(os.environ, variables), Fleet() as fleet:
            with mock.patch.dict(os.environ):
                for name in variables:
                    del os.environ[name]
                fleet.start_role("entry", "bare", bare)
            # The entry without keys reads its configuration from the store,
            # so it becomes ready, but no broker accepts its messages.
            url = f"http://{bare}/readyz"
            wait_until(lambda: httpx.get(url).is_success, "the bare entry")
            for address in (fleet.entries[0], bare):
                answer = httpx.post(
                    f"http://{address}/v1/completions",
                    json=body,
                    headers=AUTHORIZATION,
                    timeout=20,
                )
                statuses.append(answer.status_code)
                verdict = answer.headers.get("x-verdict")
        self.assertEqual((statuses, verdict), ([200, 503], "not-run"))
