"""Tests changes of pages through their writer, and without its reply."""

import anyio

from rhubarbwinch.claims.claimchanges import Finish, Take
from rhubarbwinch.claims.claimpages import ClaimPages, ClaimRecord, ClaimState
from rhubarbwinch.claims.claimrouting import RoutedPages
from rhubarbwinch.shared import codec
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.exceptions import LinkTimeout
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.memstore import MemoryStore
from tests.claimworld import Gate, GatedStore
from tests.helpers import GoldTestCase, asynchronous


class Link:
    """A link to another entry's pages with injectable faults."""

    def __init__(self):
        self.peer = None
        self.fault = ""

    async def call(self, address, message, reply, timeout_ms):
        if self.fault == "silent":
            raise LinkTimeout("no answer")
        data = codec.encode(message)
        result = await self.peer.reply(codec.decode(data, type(message)))
        if self.fault == "answer lost":
            raise LinkTimeout("no answer")
        return codec.decode(codec.encode(result), reply)


class Members:
    """A member list in which the entry `writer` is the writer of each page."""

    def __init__(self, name):
        self.me = type("Me", (), {"name": name})

    def serving(self, role):
        return [type("M", (), {"name": "writer", "link": "127.0.0.1:1"})]


def _take(name, token):
    return Take(
        name, ClaimRecord(token, "other", 1, ClaimState.CLAIMED, "digest", 0)
    )


class RoutingTest(GoldTestCase):
    """An entry whose pages are changed through another entry."""

    @asynchronous
    async def test_changes_are_made_directly_if_the_writer_fails(self):
        clock, link, gate = ManualClock(), Link(), Gate()
        store = MemoryStore(clock)
        ours = ClaimPages(store, clock, 1000)
        theirs = ClaimPages(GatedStore(store, gate), clock, 1000)
        routed = RoutedPages(ours, link, Members("other"), clock)
        link.peer = RoutedPages(theirs, link, Members("writer"), clock)
        page = keys.claims_page(1, 2)
        lines = []

        async def change(title, change):
            written = await routed.change(page, change)
            record = written.ok_value
            lines.append(
                f"{title}: {record.state} by {record.token}, writes: "
                f"writer {theirs.counters.writes}, self {ours.counters.writes}"
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ours.run)
            tasks.start_soon(theirs.run)
            await anyio.wait_all_tasks_blocked()
            await change("claim", _take("a", "1"))
            await change("another's claim", _take("a", "2"))
            link.fault = "answer lost"
            await change("answer lost", _take("b", "3"))
            await change("not asked again", _take("b", "4"))
            link.fault = ""
            await clock.advance(5_000)
            gate.cut = "both ways"
            await change("writer has no store", _take("c", "5"))
            gate.cut = ""
            done = Finish("c", "5", ClaimState.COMPLETED)
            await change("completed", done)
            read = await routed.read(page, "c")
            lines.append(f"read: {read.ok_value.state}")
            link.fault = "silent"
            await change("silent", _take("d", "6"))
            link.fault = ""
            await clock.advance(5_000)
            await change("claimed by the writer", _take("e", "7"))
            link.fault = "silent"
            done = Finish("e", "7", ClaimState.COMPLETED)
            await change("completed without it", done)
            tasks.cancel_scope.cancel()
        self.assert_gold("claims-routed", "\n".join(lines) + "\n")
