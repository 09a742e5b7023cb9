"""Tests of membership and gossip updates, with all members in one process."""

import random

import anyio

from lab.memberset import MemberSet
from rhubarbwinch.membership import overlay
from rhubarbwinch.membership.members import MemberState, Role
from rhubarbwinch.membership.rumours import Rumour, Rumours
from tests.helpers import GoldTestCase, asynchronous


class Watcher:
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

    def say(self, line):
        self.lines.append(line)


class MembershipTest(GoldTestCase):
    """Members that start, fail and shut down, compared with gold files."""

    async def _run(self, name, title, play):
        async with anyio.create_task_group() as tasks:
            watcher = Watcher(tasks)
            watcher.say(f"# {title}")
            await watcher.wait(3000)
            await play(watcher)
            tasks.cancel_scope.cancel()
        self.assert_gold(name, "\n".join(watcher.lines) + "\n")

    @asynchronous
    async def test_members_come_and_go_while_the_store_is_down(self):
        async def play(watcher):
            fleet = watcher.fleet
            watcher.say("# the store is down; one is killed, one starts")
            fleet.store.faults.down = True
            fleet.kill("broker-2")
            fleet.add("broker-9", Role.BROKER, peers=["broker-2", "broker-0"])
            await watcher.wait(2000)
            await watcher.wait(8000)
            watcher.say("# one leaves")
            fleet.nodes["broker-1"].members.leave()
            fleet.nodes["broker-1"].gossip.announce()
            await watcher.wait(1000)
            watcher.tasks.start_soon(
                fleet.nodes["broker-1"].gossip.announce_end
            )
            await fleet.clock.advance(20)
            fleet.kill("broker-1")
            await watcher.wait(1000)
            watcher.say("# the store is back")
            fleet.store.faults.down = False
            await watcher.wait(8000)

        await self._run("members-store-down", "Without the store", play)

    @asynchronous
    async def test_either_the_lease_or_a_heartbeat_is_evidence_of_life(self):
        async def play(watcher):
            fleet = watcher.fleet
            watcher.say("# one is cut off from its peers, not from the store")
            fleet.network.cut.add("broker-3")
            await watcher.wait(70_000)
            watcher.say("# the link is back; it denies the suspicion")
            fleet.network.cut.discard("broker-3")
            await watcher.wait(5000)
            watcher.say("# one is cut off from both")
            fleet.network.cut.add("broker-4")
            fleet.nodes["broker-4"].stop()
            await watcher.wait(15_000)
            watcher.say("# it is started again")
            fleet.network.cut.discard("broker-4")
            fleet.add("broker-4", Role.BROKER)
            await watcher.wait(5000)

        await self._run("members-evidence", "Lease and heartbeat", play)


class RumourTest(GoldTestCase):
    """Updates that are broadcast to all members."""

    @asynchronous
    async def test_every_member_hears_each_rumour_once_also_over_a_lossy_link(
        self,
    ):
        async with anyio.create_task_group() as tasks:
            watcher = Watcher(tasks, size=20)
            fleet = watcher.fleet
            await fleet.clock.advance(3000)
            heard = []
            for name, node in fleet.nodes.items():
                node.gossip.on("strike", _collector(heard, name))
            origin = fleet.nodes["broker-0"].gossip
            origin.share("strike", "f1", b"1")
            await fleet.clock.advance(100)
            quick = len(heard)
            fleet.network.cut.add("broker-7")
            origin.share("strike", "f2", b"2")
            await fleet.clock.advance(2000)
            fleet.network.cut.discard("broker-7")
            await fleet.clock.advance(3000)
            tasks.cancel_scope.cancel()
        self.assertEqual(quick, 19)
        self.assertEqual(len(heard), len(set(heard)))
        for key in ("f1", "f2"):
            names = {name for name, found in heard if found == key}
            self.assertEqual(len(names), 19)

    def test_a_long_rumour_is_refused(self):
        fleet = MemberSet(None)
        with self.assertRaises(ValueError):
            _lone_gossip(fleet).share("strike", "f", bytes(513))

    def test_the_news_in_a_message_stays_within_its_room(self):
        rumours = Rumours()
        for i in range(100):
            rumours.take(Rumour("k", str(i), 1, 1, bytes(100)), 0)
        seen = []
        while picked := rumours.pick("peer", 1200):
            self.assertLessEqual(sum(r.size for r in picked), 1200)
            rumours.mark("peer", picked)
            seen += picked
        self.assertEqual(len(seen), 100)

    def test_the_graph_of_heartbeats_reaches_all_after_many_losses(self):
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


def _collector(heard, name):
    async def collect(key, _):
        heard.append((name, key))

    return collect


def _lone_gossip(fleet):
    class NoTasks:
        def start_soon(self, *_):
            """Does nothing."""

    fleet._tasks = NoTasks()
    return fleet.add("alone").gossip
