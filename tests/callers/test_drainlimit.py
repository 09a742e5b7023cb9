"""Tests of responses while a program drains."""

import unittest

import anyio

from rhubarbwinch.callers.drainlimit import run_until_limit
from rhubarbwinch.http.httpapi import App, Refused, Responder
from rhubarbwinch.shared.verdict import Reason, Verdict
from tests.helpers import asynchronous


class DrainTest(unittest.TestCase):
    """The drain limit, and connections that close after their response."""

    def setUp(self):
        self.sent = []

    async def _send(self, message):
        self.sent.append(message)

    async def _head(self, version):
        """Returns the response headers of a program that is draining."""
        app = App(1024)
        app.is_closing = lambda: True
        app.route("GET", "/", lambda _, responder: responder.send_json(b"{}"))
        scope = {
            "type": "http",
            "http_version": version,
            "method": "GET",
            "path": "/",
            "query_string": b"",
            "headers": [],
        }
        messages = [{"type": "http.request", "body": b"", "more_body": False}]

        async def receive():
            if messages:
                return messages.pop()
            await anyio.sleep_forever()

        await app(scope, receive, self._send)
        return dict(self.sent[0]["headers"])

    @asynchronous
    async def test_a_response_while_draining_closes_its_connection(self):
        head = await self._head("1.1")
        self.assertEqual(head[b"connection"], b"close")

    @asynchronous
    async def test_http_2_responses_have_no_connection_header(self):
        self.assertNotIn(b"connection", await self._head("2"))

    @asynchronous
    async def test_a_response_not_started_at_the_limit_may_have_run(self):
        limit = anyio.Event()
        limit.set()
        with self.assertRaises(Refused) as caught:
            await run_until_limit(
                limit, anyio.sleep_forever, Responder(self._send), list
            )
        failure = caught.exception.failure
        self.assertEqual(failure.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(failure.reason, Reason.DRAINING)
        self.assertEqual(self.sent, [])

    @asynchronous
    async def test_an_open_stream_ends_with_a_resume_event(self):
        limit = anyio.Event()
        responder = Responder(self._send)

        async def stream():
            await responder.start(200, [])
            limit.set()
            await anyio.sleep_forever()

        await run_until_limit(limit, stream, responder, lambda: ["10.0.0.2:1"])
        self.assertEqual(
            self.sent[-1]["body"],
            b'event: resume\ndata: {"entries":["10.0.0.2:1"]}\n\n',
        )
