"""Tests that only one holder's orders take effect at a time."""

import attrs

from lab.standins.orders import OrderBoard
from rhubarbwinch.orders.fencing import Fencing, HoldState
from rhubarbwinch.orders.orders import LoadPacer, Orderer
from rhubarbwinch.orders.placementplan import EndpointState
from rhubarbwinch.records import accepted
from rhubarbwinch.shared import rendezvous
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.exceptions import EndpointError
from rhubarbwinch.stores.memstore import MemoryStore
from tests import builders
from tests.helpers import GoldTestCase, asynchronous

LEASE_MS = 10_000
FLIGHT_MS = 2_000
POOL = "vintner.dc-a"


@attrs.define
class FakeEngines:
    """An order client whose engines are in-memory order boards.

    Attributes:
        boards: The engines' order boards by address.
        lines: The text record of the test.
        pause_before: Functions by address; each runs once, after the lease
            check and before the arrival of the next order at that address.
    """

    boards: dict
    lines: list
    pause_before: dict = attrs.field(factory=dict)

    async def read_state(self, address):
        state = self.boards[address].state()
        return EndpointState(frozenset(state["loaded"]), state["role"])

    async def send(self, address, order, fence):
        if address in self.pause_before:
            await self.pause_before.pop(address)()
        taken = self.boards[address].take(order.kind, order.subject, fence)
        verb = "takes" if taken else "refuses"
        self.lines.append(
            f"{address} {verb} {order.kind} {order.subject} fence {fence}"
        )
        if not taken:
            raise EndpointError("old fence", sent=True)

    async def close(self):
        pass


class Session:
    """Two controls and a pool of two engines.

    One engine checks fencing numbers and the other ignores them.
    """

    def __init__(self):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.lines = []
        self.boards = {
            "127.0.0.1:1": OrderBoard(checks_fencing=True),
            "127.0.0.1:2": OrderBoard(checks_fencing=False),
        }
        self.engines = {}
        self.orderers = {}
        self.fencings = {}
        for number, name in enumerate(("a", "b"), 1):
            fencing = Fencing(
                self.store, self.clock, name, number, LEASE_MS, FLIGHT_MS
            )
            engines = FakeEngines(self.boards, self.lines)
            pacer = LoadPacer(self.clock, 1_000_000)
            self.fencings[name] = fencing
            self.engines[name] = engines
            self.orderers[name] = Orderer(name, fencing, engines, pacer)
        self.version = "1"

    def snapshot(self):
        """Returns the active configuration."""
        endpoints = [
            builders.endpoint(f"engine-{i}", address)
            for i, address in enumerate(self.boards)
        ]
        items = [
            builders.model(versions=["1", "2", "3"]),
            builders.pool("vintner", endpoints),
            builders.generate_service(version=self.version),
        ]
        return accepted.make_snapshot(1, items)

    async def step(self, name, controls=None):
        """Runs one round of a control, by default as the pool's owner."""
        title = f"# {self.clock.now()} ms: {name}"
        self.lines.append(title)
        snapshot = self.snapshot()
        await self.orderers[name].keep(snapshot, controls or [name])
        await self.orderers[name].converge(snapshot, sharers=1)
        if self.lines[-1] == title:
            # A round without orders is left out of the record.
            self.lines.pop()

    def note(self, text):
        """Adds a comment line to the text record."""
        self.lines.append(f"# {text}")

    def old_after_new(self):
        """Returns the orders that took effect after a higher fence number."""
        found = []
        for board in self.boards.values():
            highest = 0
            for order in board.log:
                if order.fence < highest:
                    found.append(order)
                highest = max(highest, order.fence)
        return found


class OrdersTest(GoldTestCase):
    """Two controls and two types of engines, compared with gold files."""

    @asynchronous
    async def test_a_paused_holder_sends_nothing_after_its_lease_lapsed(self):
        session = Session()
        await session.step("a")
        session.note("a is paused, its lease lapses, b takes over")
        session.version = "2"
        session.clock.set(LEASE_MS + 1)
        await session.step("b")
        session.clock.set(2 * LEASE_MS)
        await session.step("b")
        session.note("b has waited out the old lease and its last flight")
        await self._keep(session, "b", LEASE_MS + FLIGHT_MS + 1000)
        session.note("a wakes up and still believes that it holds the lease")
        session.version = "3"
        number = session.fencings["a"].number_to_send(POOL)
        session.note(f"a may send with fence {number}")
        await session.step("a")
        await session.step("b")
        self.assertEqual(session.old_after_new(), [])
        self.assert_gold("orders-paused-holder", _text(session))

    async def _keep(self, session, name, ms):
        """Runs rounds of a control for a number of milliseconds."""
        for _ in range(ms // 1000):
            session.clock.set(session.clock.now() + 1000)
            await session.step(name)

    @asynchronous
    async def test_a_pause_between_check_and_send_is_undone_by_the_next(self):
        checking = await self._pause_at_send("127.0.0.1:1")
        ignoring = await self._pause_at_send("127.0.0.1:2")
        self.assertEqual(checking.old_after_new(), [])
        # An engine that ignores fencing numbers can't refuse the late order.
        # The next round finds its effect and reverts it.
        self.assertEqual(len(ignoring.old_after_new()), 1)
        text = _text(checking) + _text(ignoring)
        self.assert_gold("orders-paused-at-send", text)

    async def _pause_at_send(self, address):
        """Pauses a holder between its lease check and an order to an engine."""
        session = Session()
        await session.step("a")
        session.version = "2"

        async def pause():
            session.note("a is paused after the check; b takes over meanwhile")
            session.version = "3"
            session.clock.set(LEASE_MS + 1)
            await session.step("b")
            await self._keep(session, "b", LEASE_MS + FLIGHT_MS + 4000)
            session.note("a's order arrives")

        session.engines["a"].pause_before[address] = pause
        session.clock.set(1000)
        await session.step("a")
        await self._keep(session, "b", 2000)
        for board in session.boards.values():
            self.assertEqual(board.state()["loaded"], ["vintner@3"])
        return session

    @asynchronous
    async def test_no_order_goes_out_while_the_store_is_down_for_long(self):
        session = Session()
        await session.step("a")
        session.store.faults.down = True
        session.note("the store is down")
        session.clock.set(LEASE_MS - FLIGHT_MS)
        session.version = "2"
        await session.step("a")
        loaded = [board.state()["loaded"] for board in session.boards.values()]
        self.assertEqual(loaded, [["vintner@1"], ["vintner@1"]])
        session.store.faults.down = False
        session.note("the store answers again")
        session.clock.set(LEASE_MS + 1)
        await session.step("a")
        await self._keep(session, "a", LEASE_MS + FLIGHT_MS + 1000)
        self.assert_gold("orders-store-down", _text(session))

    @asynchronous
    async def test_a_holder_that_leaves_hands_over_without_a_wait(self):
        session = Session()
        await session.step("a")
        await session.fencings["a"].close()
        session.version = "2"
        await session.step("b")
        self.assertIs(session.fencings["b"].state(POOL), HoldState.HELD)
        self.assertEqual(session.old_after_new(), [])
        self.assertEqual(
            [b.state()["loaded"] for b in session.boards.values()],
            [["vintner@2"], ["vintner@2"]],
        )

    @asynchronous
    async def test_a_pool_given_up_with_an_order_in_flight_is_waited_for(self):
        session = Session()

        async def give_up():
            await session.fencings["a"].give_up(POOL)
            await session.step("b")
            self.assertIs(session.fencings["b"].state(POOL), HoldState.WAITING)

        session.engines["a"].pause_before["127.0.0.1:2"] = give_up
        await session.step("a")
        self.assertEqual(session.old_after_new(), [])

    @asynchronous
    async def test_two_controls_at_once_take_a_pool_only_once(self):
        session = Session()
        both = ["a", "b"]
        winner = rendezvous.owner(POOL, both)
        for name in both:
            await session.step(name, both)
            await session.step(name)
        holding = [n for n in both if session.fencings[n].held]
        self.assertEqual(len(holding), 1)
        self.assertEqual(session.old_after_new(), [])
        self.assertIn(winner, both)

    @asynchronous
    async def test_a_lost_answer_leaves_the_pool_taken_or_free_not_stuck(self):
        for lost in range(1, 4):
            session = Session()
            await session.fencings["a"].renew()
            session.store.faults.lose_answers = lost
            for _ in range(4):
                session.clock.set(session.clock.now() + 1000)
                await session.step("a")
            await self._keep(session, "a", LEASE_MS + FLIGHT_MS + 1000)
            self.assertIs(session.fencings["a"].state(POOL), HoldState.HELD)

    def test_loads_are_spaced_by_the_rate_and_shared_among_controls(self):
        clock = ManualClock()
        pacer = LoadPacer(clock, loads_per_minute=60)
        self.assertTrue(pacer.may_load(sharers=2))
        clock.set(1999)
        self.assertFalse(pacer.may_load(sharers=2))
        clock.set(2000)
        self.assertTrue(pacer.may_load(sharers=2))


def _text(session):
    return "\n".join(session.lines) + "\n"
