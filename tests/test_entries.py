"""Tests of `GET /v1/entries` through the ASGI application of an entry."""

import json
import unittest

import anyio

from lab.seeded.world import API_KEY, World
from tests.helpers import asynchronous


async def _listed(program):
    """Returns the entry names in the response and its time to live in ms."""
    sent = []
    gone = anyio.Event()

    async def receive():
        if sent:
            await gone.wait()
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
            world = World(1, tasks)
            await world.publish()
            world.start_broker("broker-0")
            for i in range(4):
                world.start_entry(f"entry-{i}")
            await world.clock.advance(3000)
            views = [await _listed(p) for p in world.entries.values()]
            self.assertEqual(len(views[0][0]), 4)
            self.assertTrue(all(view == views[0] for view in views))
            self.assertGreater(views[0][1], 0)
            leaver = world.entries[views[0][0][0]].daemon
            tasks.start_soon(leaver.daemon.leave)
            await world.clock.advance(3000)
            for program in world.entries.values():
                names, _ = await _listed(program)
                self.assertEqual(names, views[0][0][1:])
            for program in [*world.entries.values(), *world.brokers.values()]:
                program.kill()
            tasks.cancel_scope.cancel()
