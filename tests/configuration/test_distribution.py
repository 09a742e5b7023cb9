"""Tests of distributing the configuration to members during store faults."""

import json
import random
import unittest
from unittest import mock

import anyio

from lab.memberset import MemberSet
from rhubarbwinch.configuration.distribution import Distribution
from rhubarbwinch.membership.members import Role
from rhubarbwinch.programs import ctl
from rhubarbwinch.records import accepted, records
from rhubarbwinch.records.records import Record
from rhubarbwinch.shared.exceptions import (
    ConflictError,
    LinkTimeout,
    StoreError,
)
from rhubarbwinch.stores import keys
from tests import builders
from tests.faultystore import FaultyStore
from tests.helpers import GoldTestCase, asynchronous

LIMIT_MS = 20_000


class Session:
    """Two controls and four entries, and a text record of what happens.

    Args:
        tasks: Runs the members.
        title: The first line of the record.
    """

    def __init__(self, tasks, title):
        self.fleet = MemberSet(tasks)
        self.fleet.store = FaultyStore(self.fleet.clock)
        self.lines = [f"# {title}"]
        self.falls = 0
        for i in range(2):
            self.add(f"control-{i}", Role.CONTROL)
        for i in range(4):
            self.add(f"entry-{i}")

    @property
    def store(self):
        return self.fleet.store

    @property
    def text(self):
        return "\n".join(self.lines) + "\n"

    def add(self, name, role=Role.ENTRY, peers=None):
        """Starts a member and counts how often its generation falls."""
        node = self.fleet.add(name, role, peers=peers)
        highest = 0

        def see(snapshot):
            nonlocal highest
            self.falls += snapshot.generation < highest
            highest = max(highest, snapshot.generation)

        node.follower.on_change(see)

    def say(self, line):
        self.lines.append(line)

    async def apply(self, *items):
        """Applies records as an operator does and records the result."""
        try:
            changed = await ctl.apply(self.store, list(items))
            self.say(f"applied {len(changed)}")
        except (ConflictError, StoreError) as error:
            self.say(f"not applied: {type(error).__name__}")

    async def until(self, generation, names=None):
        """Waits until members have a generation; records how long it took."""
        names = names or sorted(self.fleet.nodes)
        took = 0
        while any(self.generation(n) < generation for n in names):
            if took > LIMIT_MS:
                self.say(f"generation {generation} is missing: {self.all()}")
                return
            await self.fleet.clock.advance(10)
            took += 10
        in_time = "within 5 s" if took <= 5000 else f"after {took} ms"
        self.say(f"generation {generation} everywhere {in_time}")

    async def wait(self, ms):
        """Advances the clock and records the active generations."""
        await self.fleet.clock.advance(ms)
        self.say(f"{ms} ms later: {self.all()}")

    def generation(self, name):
        return self.fleet.nodes[name].follower.head.generation

    def all(self):
        found = [self.generation(name) for name in sorted(self.fleet.nodes)]
        return " ".join(map(str, found))

    def weight(self, name="entry-0", account="acme"):
        snapshot = self.fleet.nodes[name].follower.snapshot
        found = snapshot.accounts.get(account)
        return found.weight if found else None


class DistributionTest(GoldTestCase):
    """Operators, publishers and followers, compared with gold files."""

    async def _run(self, name, title, play):
        async with anyio.create_task_group() as tasks:
            session = Session(tasks, title)
            await session.fleet.clock.advance(3000)
            await play(session)
            session.say(f"# a generation in force fell {session.falls} times")
            tasks.cancel_scope.cancel()
        self.assert_gold(name, session.text)

    @asynchronous
    async def test_an_outage_before_during_and_after_an_apply_reverts_nothing(
        self,
    ):
        async def play(session):
            faults = session.store.faults
            await session.apply(builders.account())
            await session.until(1)
            session.say("# the store is down before an apply")
            faults.down = True
            session.store.wake_watches()
            await session.apply(builders.account(weight=2.0))
            await session.wait(10_000)
            session.say("# a daemon starts meanwhile, with one peer's address")
            session.add("entry-new", peers=["entry-1"])
            await session.until(1)
            session.say("# the store is back")
            faults.down = False
            await session.apply(builders.account(weight=2.0))
            await session.until(2)
            session.say("# it goes down when the record is written")
            await session.apply(builders.account(weight=3.0))
            faults.down = True
            session.store.wake_watches()
            await session.wait(10_000)
            faults.down = False
            await session.until(3)
            session.say("# it goes down when the first member has the change")
            await session.apply(builders.account(weight=4.0))
            while "4" not in session.all():
                await session.fleet.clock.advance(1)
            faults.down = True
            session.store.wake_watches()
            await session.until(4)
            session.say(f"weight {session.weight('entry-new')}")

        await self._run("config-store-down", "The store's outages", play)

    @asynchronous
    async def test_a_lost_answer_to_the_heads_swap_is_settled_by_reading(self):
        async def play(session):
            await session.apply(builders.account())
            await session.until(1)
            for lost in ("after", "before"):
                session.say(f"# the answer is lost {lost} the write")
                session.store.lost = lost
                weight = 2.0 if lost == "after" else 3.0
                await session.apply(builders.account(weight=weight))
                generation = 2 if lost == "after" else 3
                await session.until(generation)
                session.say(f"weight {session.weight()}")
            await session.fleet.clock.advance(5000)
            heads = [json.loads(h)["generation"] for h in session.store.heads]
            session.say(f"heads written: {heads}")

        await self._run("config-lost-answer", "Lost answers", play)

    @asynchronous
    async def test_an_older_head_from_the_store_is_never_taken(self):
        async def play(session):
            await session.apply(builders.account())
            await session.until(1)
            old = await session.store.get(keys.ACCEPTED_HEAD)
            await session.apply(builders.account(weight=2.0))
            await session.until(2)
            session.say("# every reading of the head gives generation 1")
            session.store.stale = old
            session.store.faults.down = True
            session.store.wake_watches()
            await session.fleet.clock.advance(1000)
            session.store.faults.down = False
            await session.apply(builders.account(weight=3.0))
            await session.wait(10_000)
            session.say(f"weight {session.weight()}")
            session.say("# readings are right again")
            session.store.stale = None
            await session.until(3)
            session.say(f"weight {session.weight()}")
            session.say("# the store itself is set back to generation 1")
            now = await session.store.get(keys.ACCEPTED_HEAD)
            await session.store.swap(
                keys.ACCEPTED_HEAD, now.revision, old.value
            )
            session.store.faults.down = True
            session.store.wake_watches()
            await session.fleet.clock.advance(1000)
            session.store.faults.down = False
            await session.apply(builders.account(weight=4.0))
            await session.wait(10_000)
            found = await session.store.get(keys.ACCEPTED_HEAD)
            session.say(f"published over it: {found.value != old.value}")

        await self._run("config-older-head", "An older head", play)

    @asynchronous
    async def test_racing_operators_and_publishers_lose_no_change(self):
        async def play(session):
            store = session.store
            await session.apply(builders.account())
            await session.until(1)
            await self._race_operators(session)
            await session.until(2)
            session.say(f"weight {session.weight()}")
            session.say("# two controls publish at once")
            nodes = session.fleet.nodes
            first, second = nodes["control-0"], nodes["control-1"]
            for node in (first, second):
                await node.publisher.start()
            for i in range(2):
                record = builders.account(f"vineyard-{i}")
                key = keys.record("account", record.name)
                await store.swap(key, 0, record.to_bytes())
            changes = [
                change
                for change in store.changes
                if change.key.startswith(keys.RECORDS + "account/vineyard")
            ]
            for node, change in zip((first, second), changes, strict=True):
                try:
                    head = await node.publisher.update([change])
                    session.say(f"published {head.generation}")
                except StoreError as error:
                    session.say(f"lost: {error}")
            await session.until(4)
            names = sorted(nodes["entry-0"].follower.snapshot.accounts)
            session.say(f"accounts {' '.join(names)}")

        await self._run("config-race", "Races", play)

    async def _race_operators(self, session):
        session.say("# two operators change the same record at once")
        store = session.store
        read = store.get
        winner = builders.account(weight=5.0)

        async def get(key):
            """Lets the second operator write after the first one's read."""
            found = await read(key)
            if key == keys.record("account", "acme"):
                store.get = read
                await ctl.apply(store, [winner])
            return found

        store.get = get
        try:
            await ctl.apply(store, [builders.account(weight=6.0)])
            session.say("both won")
        except ConflictError as error:
            entry = await store.get(keys.record("account", "acme"))
            session.say(f"the loser is told of a conflict on {error.key}")
            is_winners = error.winner_revision == entry.revision
            session.say(f"it names the winner's revision: {is_winners}")

    @asynchronous
    async def test_an_invalid_record_keeps_the_last_good_one_in_force(self):
        async def play(session):
            store = session.store
            await session.apply(builders.account(weight=2.0))
            await session.until(1)
            session.say("# the record is made invalid past the command line")
            key = keys.record("account", "acme")
            entry = await store.get(key)
            bad = builders.account(weight=0.0).to_bytes()
            await store.swap(key, entry.revision, bad)
            await session.apply(builders.account("other"))
            await session.until(2)
            status = await store.get(keys.status("account", "acme"))
            session.say(f"status {json.loads(status.value)['error']}")
            session.say(f"weight {session.weight()}")
            session.say("# the publisher changes, and a daemon starts")
            chosen = [
                name
                for name, node in session.fleet.nodes.items()
                if node.members.me.role is Role.CONTROL
                and node.publishing.is_chosen
            ]
            session.fleet.kill(chosen[0])
            session.add("entry-new")
            await session.wait(15_000)
            session.say(f"weight at the new one {session.weight('entry-new')}")
            session.say("# the record is mended")
            await session.apply(builders.account(weight=3.0))
            await session.until(3)
            status = await store.get(keys.status("account", "acme"))
            session.say(f"status {status}, weight {session.weight()}")

        await self._run("config-invalid", "An invalid record", play)

    @asynchronous
    async def test_schemas_live_side_by_side_and_newer_ones_stay_as_they_are(
        self,
    ):
        newer = b'{"kind":"account", "schema":3,"name":"future",\n "spec":{}}'

        async def play(session):
            store = session.store
            one = Record("account", "one", 1, {"max_requests": 7})
            two = Record("account", "two", 2, {"room": {"requests": 8}})
            await session.apply(one, two)
            await session.until(1)
            snapshot = session.fleet.nodes["entry-0"].follower.snapshot
            for name in ("one", "two"):
                room = snapshot.accounts[name].room.requests
                session.say(f"account {name} has room for {room}")
            session.say("# a record of schema 3; the old control leaves it")
            key = keys.record("account", "future")
            await store.swap(key, 0, newer)
            await session.wait(5000)
            session.say("# a new control publishes it beside the old one")
            with mock.patch.object(records, "CURRENT_SCHEMA", 3):
                head = await self._publish_as_new(session)
            session.say(f"published {head.generation}")
            await session.until(2)
            session.say("# the old control publishes another change")
            await session.apply(builders.account("later"))
            await session.until(3)
            follower = session.fleet.nodes["entry-0"].follower
            chunk = follower.chunk(
                follower.head.chunks[accepted.slot_of_key("account/future")]
            )
            kept = [r.raw for r in accepted.unpack_chunk(chunk)]
            session.say(f"byte for byte: {newer in kept}")
            is_used = "future" in follower.snapshot.accounts
            session.say(f"an old entry uses it: {is_used}")

        await self._run("config-schemas", "Schemas 1, 2 and 3", play)

    async def _publish_as_new(self, session):
        converters = {f"{kind}/2": lambda spec: spec for kind in records.KINDS}
        with mock.patch.dict(records.CONVERTERS._items, converters):
            return await session.fleet.nodes["control-0"].publisher.start()


class SilentPeerTest(unittest.TestCase):
    """A peer that does not reply."""

    def test_it_is_logged_and_nothing_is_taken_from_it(self):
        links = mock.Mock()
        links.call = mock.AsyncMock(side_effect=LinkTimeout("cut"))
        members = mock.Mock()
        found = Distribution(links, mock.Mock(), members, random.Random(1))
        with self.assertLogs("absl", "INFO") as logs:
            head = anyio.run(found.head, "127.0.0.1:1")
        self.assertIsNone(head)
        self.assertIn("peer-silent", logs.output[0])
