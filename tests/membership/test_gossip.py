"""Tests of membership and gossip updates, with all members in one process."""

import random

import anyio

from lab.memberset import MemberSet
from rhubarbwinch.membership import overlay
from rhubarbwinch.membership.members import MemberState, Role
from rhubarbwinch.membership.updatebuffer import Rumour, UpdateBuffer
from tests.helpers import GoldTestCase, asynchronous


class ViewRecorder:
    """Records every member's view of the members as text.

    Args:
        tasks: Runs the members.
        size: The initial number of brokers.
    """

    def __init__(self, tasks, size=6):
        self.fleet = MemberSet(tasks)
        self.tasks = tasks
        self.lines = []
        for i in range(size):
            self.fleet.add(f"broker-{i}", Role.BROKER)

    async def wait(self, ms):
        """Advances the clock and records the different views."""
        await self.fleet.clock.advance(ms)
        views = {}
        for name, node in sorted(self.fleet.nodes.items()):
            members = node.members
            seen = " ".join(
                self._describe(members, member) for member in members.all()
            )
            views.setdefault(seen, []).append(name)
        self.lines.append(f"{ms} ms later")
        for seen, names in sorted(views.items()):
            who = "all" if len(views) == 1 else " ".join(names)
            self.lines.append(f"  {who}: {seen}")

    def _describe(self, members, member):
        marks = ""
        if member.state is MemberState.LEAVING:
            marks += "(leaving)"
        if members.health(member.name):
            marks += "(suspect)"
        return member.name + marks

    def add_line(self, line):
        self.lines.append(line)


class MembershipTest(GoldTestCase):
    """Members that start, fail and shut down, compared with gold files."""

    async def _run(self, name, title, scenario):
        async with anyio.create_task_group() as tasks:
            recorder = ViewRecorder(tasks)
            recorder.add_line(f"# {title}")
            await recorder.wait(3000)
            await scenario(recorder)
            tasks.cancel_scope.cancel()
        self.assert_gold(name, "\n".join(recorder.lines) + "\n")

    @asynchronous
    async def test_members_join_and_leave_while_the_store_is_down(self):
        async def scenario(recorder):
            fleet = recorder.fleet
            recorder.add_line("# the store is down; one is killed, one starts")
            fleet.store.faults.down = True
            fleet.kill("broker-2")
            fleet.add("broker-9", Role.BROKER, peers=["broker-2", "broker-0"])
            await recorder.wait(2000)
            await recorder.wait(8000)
            recorder.add_line("# one leaves")
            fleet.nodes["broker-1"].members.leave()
            fleet.nodes["broker-1"].gossip.announce()
            await recorder.wait(1000)
            recorder.tasks.start_soon(
                fleet.nodes["broker-1"].gossip.announce_shutdown
            )
            await fleet.clock.advance(20)
            fleet.kill("broker-1")
            await recorder.wait(1000)
            recorder.add_line("# the store is back")
            fleet.store.faults.down = False
            await recorder.wait(8000)

        await self._run("members-store-down", "Without the store", scenario)

    @asynchronous
    async def test_a_member_with_a_lease_or_with_heartbeats_is_not_marked_dead(
        self,
    ):
        async def scenario(recorder):
            fleet = recorder.fleet
            recorder.add_line(
                "# one is disconnected from its peers, not from the store"
            )
            fleet.network.disconnected.add("broker-3")
            await recorder.wait(70_000)
            recorder.add_line(
                "# the link works again; the member refutes the suspicion"
            )
            fleet.network.disconnected.discard("broker-3")
            await recorder.wait(5000)
            recorder.add_line("# one is disconnected from both")
            fleet.network.disconnected.add("broker-4")
            fleet.nodes["broker-4"].stop()
            await recorder.wait(15_000)
            recorder.add_line("# the same member is started again")
            fleet.network.disconnected.discard("broker-4")
            fleet.add("broker-4", Role.BROKER)
            await recorder.wait(5000)

        await self._run("members-evidence", "Lease and heartbeat", scenario)


class UpdateTest(GoldTestCase):
    """Updates that are broadcast to all members."""

    @asynchronous
    async def test_every_member_receives_each_update_once_despite_a_lossy_link(
        self,
    ):
        async with anyio.create_task_group() as tasks:
            recorder = ViewRecorder(tasks, size=20)
            fleet = recorder.fleet
            await fleet.clock.advance(3000)
            received = []
            for name, node in fleet.nodes.items():
                node.gossip.on_update("strike", _make_collector(received, name))
            origin = fleet.nodes["broker-0"].gossip
            origin.broadcast("strike", "f1", b"1")
            await fleet.clock.advance(100)
            quick = len(received)
            fleet.network.disconnected.add("broker-7")
            origin.broadcast("strike", "f2", b"2")
            await fleet.clock.advance(2000)
            fleet.network.disconnected.discard("broker-7")
            await fleet.clock.advance(3000)
            tasks.cancel_scope.cancel()
        self.assertEqual(quick, 19)
        self.assertEqual(len(received), len(set(received)))
        for key in ("f1", "f2"):
            names = {name for name, found in received if found == key}
            self.assertEqual(len(names), 19)

    def test_a_too_long_update_is_refused(self):
        fleet = MemberSet(None)
        with self.assertRaises(ValueError):
            _lone_gossip(fleet).broadcast("strike", "f", bytes(513))

    def test_the_updates_in_a_message_stay_within_the_byte_limit(self):
        updates = UpdateBuffer()
        for i in range(100):
            updates.add(Rumour("k", str(i), 1, 1, bytes(100)), 0)
        seen = []
        while chosen := updates.pick_for_message("peer", 1200):
            self.assertLessEqual(sum(r.size for r in chosen), 1200)
            updates.mark_delivered("peer", chosen)
            seen += chosen
        self.assertEqual(len(seen), 100)

    def test_the_heartbeat_graph_stays_connected_after_many_failures(self):
        names = [f"m-{i}" for i in range(100)]
        alive = random.Random(2).sample(names, 60)
        graph = {name: overlay.neighbours(name, alive) for name in alive}
        self.assertLessEqual(max(map(len, graph.values())), overlay.RINGS)
        reached = {alive[0]}
        waiting = [alive[0]]
        while waiting:
            for peer in graph[waiting.pop()]:
                if peer not in reached:
                    reached.add(peer)
                    waiting.append(peer)
        self.assertEqual(reached, set(alive))


def _make_collector(received, name):
    async def collect(key, _):
        received.append((name, key))

    return collect


def _lone_gossip(fleet):
    class NoTasks:
        def start_soon(self, *_):
            """Does nothing."""

    fleet._tasks = NoTasks()
    return fleet.add("alone").gossip
