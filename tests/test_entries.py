"""Tests of `GET /v1/entries` through the ASGI application of an entry."""

import json
import unittest

import anyio

from lab.seeded.deployment import API_KEY, SimulatedDeployment
from tests.helpers import asynchronous


async def _list_entries(program):
    """Returns the entry names in the response and its time to live in ms."""
    sent = []
    disconnected = anyio.Event()

    async def receive():
        if sent:
            await disconnected.wait()
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "http_version": "1.1",
        "method": "GET",
        "path": "/v1/entries",
        "query_string": b"",
        "headers": [(b"authorization", b"Bearer " + API_KEY.encode())],
    }
    await program.daemon.app(scope, receive, send)
    body = b"".join(m.get("body", b"") for m in sent)
    data = json.loads(body)
    return [entry["name"] for entry in data["entries"]], data["ttl_ms"]


class EntriesTest(unittest.TestCase):
    """The list of entries that callers can send requests to."""

    @asynchronous
    async def test_all_list_the_same_serving_entries_with_a_time_to_live(self):
        async with anyio.create_task_group() as tasks:
            deployment = SimulatedDeployment(1, tasks)
            await deployment.publish_configuration()
            deployment.start_broker("broker-0")
            for i in range(4):
                deployment.start_entry(f"entry-{i}")
            await deployment.clock.advance(3000)
            lists = [
                await _list_entries(p) for p in deployment.entries.values()
            ]
            self.assertEqual(len(lists[0][0]), 4)
            self.assertTrue(all(found == lists[0] for found in lists))
            self.assertGreater(lists[0][1], 0)
            leaving_entry = deployment.entries[lists[0][0][0]].daemon
            tasks.start_soon(leaving_entry.daemon.shut_down)
            await deployment.clock.advance(3000)
            for program in deployment.entries.values():
                names, _ = await _list_entries(program)
                self.assertEqual(names, lists[0][0][1:])
            for program in [
                *deployment.entries.values(),
                *deployment.brokers.values(),
            ]:
                program.kill()
            tasks.cancel_scope.cancel()
