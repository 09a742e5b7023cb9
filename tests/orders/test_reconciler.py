"""Tests that only one holder's orders take effect at a time."""

import attrs

from lab.standins.orders import OrderHandler
from rhubarbwinch.orders.desiredstate import LoadedState
from rhubarbwinch.orders.fencing import Fencing, HoldState
from rhubarbwinch.orders.reconciler import LoadRateLimiter, Reconciler
from rhubarbwinch.records import acceptedconfig
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
class FakeOrderClient:
    """An order client whose engines are in-memory order handlers.

    Attributes:
        handlers: The engines' order handlers by address.
        lines: The text record of the test.
        before_arrival: Functions by address; each runs once, after the lease
            check and before the arrival of the next order at that address.
    """

    handlers: dict
    lines: list
    before_arrival: dict = attrs.field(factory=dict)

    async def read_state(self, address):
        state = self.handlers[address].state()
        return LoadedState(frozenset(state["loaded"]), state["role"])

    async def send(self, address, order, fence):
        if address in self.before_arrival:
            await self.before_arrival.pop(address)()
        taken = self.handlers[address].apply_order(
            order.kind, order.subject, fence
        )
        verb = "accepts" if taken else "refuses"
        self.lines.append(
            f"{address} {verb} {order.kind} {order.subject} fence {fence}"
        )
        if not taken:
            raise EndpointError("old fence", sent=True)

    async def close(self):
        pass


class Scenario:
    """Two controls and a pool of two engines.

    One engine checks fencing numbers and the other ignores them.
    """

    def __init__(self):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.lines = []
        self.handlers = {
            "127.0.0.1:1": OrderHandler(checks_fencing=True),
            "127.0.0.1:2": OrderHandler(checks_fencing=False),
        }
        self.engines = {}
        self.reconcilers = {}
        self.fencings = {}
        for number, name in enumerate(("a", "b"), 1):
            fencing = Fencing(
                self.store, self.clock, name, number, LEASE_MS, FLIGHT_MS
            )
            engines = FakeOrderClient(self.handlers, self.lines)
            rate_limiter = LoadRateLimiter(self.clock, 1_000_000)
            self.fencings[name] = fencing
            self.engines[name] = engines
            self.reconcilers[name] = Reconciler(
                name, fencing, engines, rate_limiter
            )
        self.version = "1"

    def snapshot(self):
        """Returns the active configuration."""
        endpoints = [
            builders.endpoint(f"engine-{i}", address)
            for i, address in enumerate(self.handlers)
        ]
        items = [
            builders.model(versions=["1", "2", "3"]),
            builders.pool("vintner", endpoints),
            builders.generate_service(version=self.version),
        ]
        return acceptedconfig.make_snapshot(1, items)

    async def run_round(self, name, controls=None):
        """Runs one round of a control, by default as the pool's owner."""
        title = f"# {self.clock.now()} ms: {name}"
        self.lines.append(title)
        snapshot = self.snapshot()
        await self.reconcilers[name].renew_and_acquire(
            snapshot, controls or [name]
        )
        await self.reconcilers[name].reconcile(snapshot, control_count=1)
        if self.lines[-1] == title:
            # A round without orders is left out of the record.
            self.lines.pop()

    def add_comment(self, text):
        """Adds a comment line to the text record."""
        self.lines.append(f"# {text}")

    def late_orders(self):
        """Returns the orders that took effect after a higher fence number."""
        found = []
        for handler in self.handlers.values():
            highest = 0
            for order in handler.applied_orders:
                if order.fence < highest:
                    found.append(order)
                highest = max(highest, order.fence)
        return found


class ReconcilerTest(GoldTestCase):
    """Two controls and two types of engines, compared with gold files."""

    @asynchronous
    async def test_a_paused_holder_sends_nothing_after_its_lease_expired(self):
        scenario = Scenario()
        await scenario.run_round("a")
        scenario.add_comment(
            "a is paused, its lease expires, b acquires the pool"
        )
        scenario.version = "2"
        scenario.clock.set(LEASE_MS + 1)
        await scenario.run_round("b")
        scenario.clock.set(2 * LEASE_MS)
        await scenario.run_round("b")
        scenario.add_comment(
            "b has waited until a's lease and last order have ended"
        )
        await self._run_rounds(scenario, "b", LEASE_MS + FLIGHT_MS + 1000)
        scenario.add_comment(
            "a resumes and does not know that its lease has expired"
        )
        scenario.version = "3"
        number = scenario.fencings["a"].fence_to_send(POOL)
        scenario.add_comment(f"a may send with fence {number}")
        await scenario.run_round("a")
        await scenario.run_round("b")
        self.assertEqual(scenario.late_orders(), [])
        self.assert_gold("orders-paused-holder", _text(scenario))

    async def _run_rounds(self, scenario, name, ms):
        """Runs rounds of a control for a number of milliseconds."""
        for _ in range(ms // 1000):
            scenario.clock.set(scenario.clock.now() + 1000)
            await scenario.run_round(name)

    @asynchronous
    async def test_a_late_order_of_a_paused_holder_is_refused_or_reverted(self):
        checking = await self._pause_at_send("127.0.0.1:1")
        ignoring = await self._pause_at_send("127.0.0.1:2")
        self.assertEqual(checking.late_orders(), [])
        # An engine that ignores fencing numbers can't refuse the late order.
        # The next round finds its effect and reverts it.
        self.assertEqual(len(ignoring.late_orders()), 1)
        text = _text(checking) + _text(ignoring)
        self.assert_gold("orders-paused-at-send", text)

    async def _pause_at_send(self, address):
        """Pauses a holder between its lease check and an order to an engine."""
        scenario = Scenario()
        await scenario.run_round("a")
        scenario.version = "2"

        async def pause():
            scenario.add_comment(
                "a is paused after the check; b acquires the pool"
            )
            scenario.version = "3"
            scenario.clock.set(LEASE_MS + 1)
            await scenario.run_round("b")
            await self._run_rounds(scenario, "b", LEASE_MS + FLIGHT_MS + 4000)
            scenario.add_comment("a's order arrives")

        scenario.engines["a"].before_arrival[address] = pause
        scenario.clock.set(1000)
        await scenario.run_round("a")
        await self._run_rounds(scenario, "b", 2000)
        for handler in scenario.handlers.values():
            self.assertEqual(handler.state()["loaded"], ["vintner@3"])
        return scenario

    @asynchronous
    async def test_no_order_is_sent_in_a_long_store_outage(self):
        scenario = Scenario()
        await scenario.run_round("a")
        scenario.store.faults.down = True
        scenario.add_comment("the store is down")
        scenario.clock.set(LEASE_MS - FLIGHT_MS)
        scenario.version = "2"
        await scenario.run_round("a")
        loaded = [
            handler.state()["loaded"] for handler in scenario.handlers.values()
        ]
        self.assertEqual(loaded, [["vintner@1"], ["vintner@1"]])
        scenario.store.faults.down = False
        scenario.add_comment("the store is available again")
        scenario.clock.set(LEASE_MS + 1)
        await scenario.run_round("a")
        await self._run_rounds(scenario, "a", LEASE_MS + FLIGHT_MS + 1000)
        self.assert_gold("orders-store-down", _text(scenario))

    @asynchronous
    async def test_a_pool_released_at_shutdown_is_acquired_without_a_wait(self):
        scenario = Scenario()
        await scenario.run_round("a")
        await scenario.fencings["a"].close()
        scenario.version = "2"
        await scenario.run_round("b")
        self.assertIs(scenario.fencings["b"].state(POOL), HoldState.HELD)
        self.assertEqual(scenario.late_orders(), [])
        self.assertEqual(
            [b.state()["loaded"] for b in scenario.handlers.values()],
            [["vintner@2"], ["vintner@2"]],
        )

    @asynchronous
    async def test_a_pool_released_with_an_order_in_flight_is_waited_for(self):
        scenario = Scenario()

        async def release():
            await scenario.fencings["a"].release(POOL)
            await scenario.run_round("b")
            self.assertIs(scenario.fencings["b"].state(POOL), HoldState.WAITING)

        scenario.engines["a"].before_arrival["127.0.0.1:2"] = release
        await scenario.run_round("a")
        self.assertEqual(scenario.late_orders(), [])

    @asynchronous
    async def test_only_one_of_two_controls_acquires_a_pool(self):
        scenario = Scenario()
        both = ["a", "b"]
        winner = rendezvous.owner(POOL, both)
        for name in both:
            await scenario.run_round(name, both)
            await scenario.run_round(name)
        holding = [n for n in both if scenario.fencings[n].held]
        self.assertEqual(len(holding), 1)
        self.assertEqual(scenario.late_orders(), [])
        self.assertIn(winner, both)

    @asynchronous
    async def test_after_a_lost_reply_the_pool_can_still_be_acquired(self):
        for lost in range(1, 4):
            scenario = Scenario()
            await scenario.fencings["a"].renew()
            scenario.store.faults.lost_responses = lost
            for _ in range(4):
                scenario.clock.set(scenario.clock.now() + 1000)
                await scenario.run_round("a")
            await self._run_rounds(scenario, "a", LEASE_MS + FLIGHT_MS + 1000)
            self.assertIs(scenario.fencings["a"].state(POOL), HoldState.HELD)

    def test_loads_are_spaced_by_the_rate_and_shared_among_controls(self):
        clock = ManualClock()
        rate_limiter = LoadRateLimiter(clock, loads_per_minute=60)
        self.assertTrue(rate_limiter.try_acquire(control_count=2))
        clock.set(1999)
        self.assertFalse(rate_limiter.try_acquire(control_count=2))
        clock.set(2000)
        self.assertTrue(rate_limiter.try_acquire(control_count=2))


def _text(scenario):
    return "\n".join(scenario.lines) + "\n"
