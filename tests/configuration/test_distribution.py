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
from rhubarbwinch.records import acceptedconfig, records
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


class Scenario:
    """Two controls and four entries, and a text record of what happens.

    Args:
        tasks: Runs the members.
        title: The first line of the record.
    """

    def __init__(self, tasks, title):
        self.fleet = MemberSet(tasks)
        self.fleet.store = FaultyStore(self.fleet.clock)
        self.lines = [f"# {title}"]
        self.drops = 0
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
            self.drops += snapshot.generation < highest
            highest = max(highest, snapshot.generation)

        node.config.on_change(see)

    def add_line(self, line):
        self.lines.append(line)

    async def apply(self, *items):
        """Applies records as an operator does and records the result."""
        try:
            changed = await ctl.apply(self.store, list(items))
            self.add_line(f"applied {len(changed)}")
        except (ConflictError, StoreError) as error:
            self.add_line(f"not applied: {type(error).__name__}")

    async def wait_for_generation(self, generation, names=None):
        """Waits until members have a generation; records how long it took."""
        names = names or sorted(self.fleet.nodes)
        took = 0
        while any(self.generation(n) < generation for n in names):
            if took > LIMIT_MS:
                self.add_line(
                    f"generation {generation} is missing: {self.generations()}"
                )
                return
            await self.fleet.clock.advance(10)
            took += 10
        in_time = "within 5 s" if took <= 5000 else f"after {took} ms"
        self.add_line(f"generation {generation} everywhere {in_time}")

    async def wait(self, ms):
        """Advances the clock and records the active generations."""
        await self.fleet.clock.advance(ms)
        self.add_line(f"{ms} ms later: {self.generations()}")

    def generation(self, name):
        return self.fleet.nodes[name].config.head.generation

    def generations(self):
        distribution = [
            self.generation(name) for name in sorted(self.fleet.nodes)
        ]
        return " ".join(map(str, distribution))

    def weight(self, name="entry-0", account="acme"):
        snapshot = self.fleet.nodes[name].config.snapshot
        distribution = snapshot.accounts.get(account)
        return distribution.weight if distribution else None


class DistributionTest(GoldTestCase):
    """Operators, publishers and replicas, compared with gold files."""

    async def _run(self, name, title, play_scenario):
        async with anyio.create_task_group() as tasks:
            scenario = Scenario(tasks, title)
            await scenario.fleet.clock.advance(3000)
            await play_scenario(scenario)
            scenario.add_line(
                f"# an active generation fell {scenario.drops} times"
            )
            tasks.cancel_scope.cancel()
        self.assert_gold(name, scenario.text)

    @asynchronous
    async def test_an_outage_before_during_and_after_an_apply_reverts_nothing(
        self,
    ):
        async def play_scenario(scenario):
            faults = scenario.store.faults
            await scenario.apply(builders.account())
            await scenario.wait_for_generation(1)
            scenario.add_line("# the store is down before an apply")
            faults.down = True
            scenario.store.notify_watches()
            await scenario.apply(builders.account(weight=2.0))
            await scenario.wait(10_000)
            scenario.add_line(
                "# a daemon starts meanwhile, with one peer's address"
            )
            scenario.add("entry-new", peers=["entry-1"])
            await scenario.wait_for_generation(1)
            scenario.add_line("# the store is back")
            faults.down = False
            await scenario.apply(builders.account(weight=2.0))
            await scenario.wait_for_generation(2)
            scenario.add_line(
                "# the store goes down when the record is written"
            )
            await scenario.apply(builders.account(weight=3.0))
            faults.down = True
            scenario.store.notify_watches()
            await scenario.wait(10_000)
            faults.down = False
            await scenario.wait_for_generation(3)
            scenario.add_line(
                "# the store goes down when the first member has the change"
            )
            await scenario.apply(builders.account(weight=4.0))
            while "4" not in scenario.generations():
                await scenario.fleet.clock.advance(1)
            faults.down = True
            scenario.store.notify_watches()
            await scenario.wait_for_generation(4)
            scenario.add_line(f"weight {scenario.weight('entry-new')}")

        await self._run(
            "config-store-down", "The store's outages", play_scenario
        )

    @asynchronous
    async def test_a_lost_reply_to_the_heads_swap_is_resolved_by_reading(self):
        async def play_scenario(scenario):
            await scenario.apply(builders.account())
            await scenario.wait_for_generation(1)
            for lost in ("after", "before"):
                scenario.add_line(f"# the reply is lost {lost} the write")
                scenario.store.lost = lost
                weight = 2.0 if lost == "after" else 3.0
                await scenario.apply(builders.account(weight=weight))
                generation = 2 if lost == "after" else 3
                await scenario.wait_for_generation(generation)
                scenario.add_line(f"weight {scenario.weight()}")
            await scenario.fleet.clock.advance(5000)
            heads = [json.loads(h)["generation"] for h in scenario.store.heads]
            scenario.add_line(f"heads written: {heads}")

        await self._run("config-lost-answer", "Lost answers", play_scenario)

    @asynchronous
    async def test_an_older_head_from_the_store_is_never_activated(self):
        async def play_scenario(scenario):
            await scenario.apply(builders.account())
            await scenario.wait_for_generation(1)
            old = await scenario.store.get(keys.ACCEPTED_HEAD)
            await scenario.apply(builders.account(weight=2.0))
            await scenario.wait_for_generation(2)
            scenario.add_line("# every read of the head returns generation 1")
            scenario.store.stale = old
            scenario.store.faults.down = True
            scenario.store.notify_watches()
            await scenario.fleet.clock.advance(1000)
            scenario.store.faults.down = False
            await scenario.apply(builders.account(weight=3.0))
            await scenario.wait(10_000)
            scenario.add_line(f"weight {scenario.weight()}")
            scenario.add_line("# reads are correct again")
            scenario.store.stale = None
            await scenario.wait_for_generation(3)
            scenario.add_line(f"weight {scenario.weight()}")
            scenario.add_line("# the store itself is set back to generation 1")
            now = await scenario.store.get(keys.ACCEPTED_HEAD)
            await scenario.store.swap(
                keys.ACCEPTED_HEAD, now.revision, old.value
            )
            scenario.store.faults.down = True
            scenario.store.notify_watches()
            await scenario.fleet.clock.advance(1000)
            scenario.store.faults.down = False
            await scenario.apply(builders.account(weight=4.0))
            await scenario.wait(10_000)
            distribution = await scenario.store.get(keys.ACCEPTED_HEAD)
            scenario.add_line(
                f"overwritten by a publisher: {distribution.value != old.value}"
            )

        await self._run("config-older-head", "An older head", play_scenario)

    @asynchronous
    async def test_racing_operators_and_publishers_lose_no_change(self):
        async def play_scenario(scenario):
            store = scenario.store
            await scenario.apply(builders.account())
            await scenario.wait_for_generation(1)
            await self._race_operators(scenario)
            await scenario.wait_for_generation(2)
            scenario.add_line(f"weight {scenario.weight()}")
            scenario.add_line("# two controls publish at once")
            nodes = scenario.fleet.nodes
            first, second = nodes["control-0"], nodes["control-1"]
            for node in (first, second):
                await node.publisher.publish_all()
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
                    head = await node.publisher.publish_changes([change])
                    scenario.add_line(f"published {head.generation}")
                except StoreError as error:
                    scenario.add_line(f"lost: {error}")
            await scenario.wait_for_generation(4)
            names = sorted(nodes["entry-0"].config.snapshot.accounts)
            scenario.add_line(f"accounts {' '.join(names)}")

        await self._run("config-race", "Races", play_scenario)

    async def _race_operators(self, scenario):
        scenario.add_line("# two operators change the same record at once")
        store = scenario.store
        read = store.get
        winner = builders.account(weight=5.0)

        async def get(key):
            """Lets the second operator write after the first one's read."""
            distribution = await read(key)
            if key == keys.record("account", "acme"):
                store.get = read
                await ctl.apply(store, [winner])
            return distribution

        store.get = get
        try:
            await ctl.apply(store, [builders.account(weight=6.0)])
            scenario.add_line("both won")
        except ConflictError as error:
            entry = await store.get(keys.record("account", "acme"))
            scenario.add_line(
                f"the second operator gets a conflict on {error.key}"
            )
            is_winners = error.winner_revision == entry.revision
            scenario.add_line(
                f"the error has the current revision: {is_winners}"
            )

    @asynchronous
    async def test_the_last_valid_version_of_an_invalid_record_stays_active(
        self,
    ):
        async def play_scenario(scenario):
            store = scenario.store
            await scenario.apply(builders.account(weight=2.0))
            await scenario.wait_for_generation(1)
            scenario.add_line(
                "# an invalid record is written without rhubarbwinchctl"
            )
            key = keys.record("account", "acme")
            entry = await store.get(key)
            bad = builders.account(weight=0.0).to_bytes()
            await store.swap(key, entry.revision, bad)
            await scenario.apply(builders.account("other"))
            await scenario.wait_for_generation(2)
            status = await store.get(keys.status("account", "acme"))
            scenario.add_line(f"status {json.loads(status.value)['error']}")
            scenario.add_line(f"weight {scenario.weight()}")
            scenario.add_line(
                "# another control publishes, and a daemon starts"
            )
            chosen = [
                name
                for name, node in scenario.fleet.nodes.items()
                if node.members.me.role is Role.CONTROL
                and node.publisher_loop.is_elected
            ]
            scenario.fleet.kill(chosen[0])
            scenario.add("entry-new")
            await scenario.wait(15_000)
            scenario.add_line(
                f"weight at the new entry {scenario.weight('entry-new')}"
            )
            scenario.add_line("# the record is corrected")
            await scenario.apply(builders.account(weight=3.0))
            await scenario.wait_for_generation(3)
            status = await store.get(keys.status("account", "acme"))
            scenario.add_line(f"status {status}, weight {scenario.weight()}")

        await self._run("config-invalid", "An invalid record", play_scenario)

    @asynchronous
    async def test_schemas_coexist_and_newer_ones_are_kept_unchanged(
        self,
    ):
        newer = b'{"kind":"account", "schema":3,"name":"future",\n "spec":{}}'

        async def play_scenario(scenario):
            store = scenario.store
            one = Record("account", "one", 1, {"max_requests": 7})
            two = Record("account", "two", 2, {"room": {"requests": 8}})
            await scenario.apply(one, two)
            await scenario.wait_for_generation(1)
            snapshot = scenario.fleet.nodes["entry-0"].config.snapshot
            for name in ("one", "two"):
                room = snapshot.accounts[name].room.requests
                scenario.add_line(f"account {name} may have requests: {room}")
            scenario.add_line(
                "# a record of schema 3; the old control does not publish it"
            )
            key = keys.record("account", "future")
            await store.swap(key, 0, newer)
            await scenario.wait(5000)
            scenario.add_line("# a control of a newer version publishes it")
            with mock.patch.object(records, "CURRENT_SCHEMA", 3):
                head = await self._publish_as_new(scenario)
            scenario.add_line(f"published {head.generation}")
            await scenario.wait_for_generation(2)
            scenario.add_line("# the old control publishes another change")
            await scenario.apply(builders.account("later"))
            await scenario.wait_for_generation(3)
            config = scenario.fleet.nodes["entry-0"].config
            chunk = config.chunk(
                config.head.chunks[acceptedconfig.slot_of_key("account/future")]
            )
            kept = [r.raw for r in acceptedconfig.unpack_chunk(chunk)]
            scenario.add_line(f"bytes unchanged: {newer in kept}")
            is_used = "future" in config.snapshot.accounts
            scenario.add_line(f"an old entry uses it: {is_used}")

        await self._run("config-schemas", "Schemas 1, 2 and 3", play_scenario)

    async def _publish_as_new(self, scenario):
        converters = {f"{kind}/2": lambda spec: spec for kind in records.KINDS}
        with mock.patch.dict(records.CONVERTERS._items, converters):
            return await scenario.fleet.nodes[
                "control-0"
            ].publisher.publish_all()


class SilentPeerTest(unittest.TestCase):
    """A peer that does not reply."""

    def test_a_silent_peer_is_logged_and_yields_no_head(self):
        links = mock.Mock()
        links.call = mock.AsyncMock(side_effect=LinkTimeout("cut"))
        members = mock.Mock()
        distribution = Distribution(
            links, mock.Mock(), members, random.Random(1)
        )
        with self.assertLogs("absl", "INFO") as logs:
            head = anyio.run(distribution.head, "127.0.0.1:1")
        self.assertIsNone(head)
        self.assertIn("peer-silent", logs.output[0])
