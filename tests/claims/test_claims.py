"""Tests at-most-once execution against the endpoint's own count of runs."""

from rhubarbwinch.shared.verdict import Reason, not_run
from tests.claimworld import World
from tests.helpers import GoldTestCase, asynchronous


class ClaimsTest(GoldTestCase):
    """Calls that are not repeatable, under injected failures."""

    @asynchronous
    async def test_concurrent_calls_with_the_same_key_run_once(self):
        async with World() as world:
            key = world.key()
            world.counting_endpoint.delay_ms = 1_000
            responses = [world.start(i, key) for i in (0, 1, 0, 1)]
            await world.settle(*responses)
            for response in responses:
                world.note(response.text)
            other = await world.call(1, key, body=b"[]")
            world.note(f"other content: {other}")
            await world.judge()
            world.note(f"permits held {world.entries[1].permits.held}")
        self.assert_gold("claims-two-entries", world.text())

    @asynchronous
    async def test_a_retry_at_another_entry_after_a_kill_never_runs_twice(self):
        text = ""
        points = {
            "before the claim": "before write",
            "after the claim": "after write",
            "claimed, before the send": "before send",
            "after the send": "after run",
        }
        for name, point in points.items():
            async with World() as world:
                key = world.key()
                world.note(f"# entry-0 killed {name}")
                await world.stop(0, point, key)
                world.entries[0].listed = False
                for _ in range(2):
                    world.note(f"entry-1: {await world.call(1, key)}")
                await world.judge()
            text += world.text()
        async with World() as world:
            key = world.key()
            world.note("# entry-0 killed after the answer")
            world.note(f"entry-0: {await world.call(0, key)}")
            world.entries[0].gate.closed = True
            world.entries[0].listed = False
            world.note(f"entry-1: {await world.call(1, key)}")
            await world.judge()
        self.assert_gold("claims-killed", text + world.text())

    @asynchronous
    async def test_a_paused_owner_that_resumes_runs_a_call_at_most_once(self):
        text = ""
        for point in ("before write", "after write", "before send"):
            async with World() as world:
                key = world.key()
                world.note(f"# paused: {point}")
                first = await world.stop(0, point, key)
                world.note(f"silent: {await world.call(1, key)}")
                world.entries[0].listed = False
                world.note(f"lease lapsed: {await world.call(1, key)}")
                await world.clock.advance(20_000)
                world.entries[0].gate.wake()
                world.entries[0].listed = True
                await world.settle(first)
                world.note(f"woken: {first.text}")
                world.note(f"after: {await world.call(1, key)}")
                await world.judge()
            text += world.text()
        self.assert_gold("claims-paused", text)

    @asynchronous
    async def test_a_lost_reply_of_the_store_never_runs_a_call_twice(self):
        text = ""
        for lost in (1, 2):
            async with World() as world:
                key = world.key()
                world.note(f"# the store's next {lost} answers are lost")
                world.store.faults.lost_responses = lost
                world.note(f"entry-0: {await world.call(0, key)}")
                await world.clock.advance(3_000)
                world.note(f"entry-1: {await world.call(1, key)}")
                await world.judge()
            text += world.text()
        async with World() as world:
            key = world.key()
            world.note("# the link breaks after the claim took effect")
            first = await world.stop(0, "before write", key)
            world.entries[0].gate.cut = "answers"
            world.entries[0].gate.wake()
            await world.settle(first)
            world.note(f"entry-0: {first.text}")
            await world.judge()
            world.note(f"entry-1: {await world.call(1, key)}")
            world.entries[0].gate.cut = ""
            world.note(f"entry-0: {await world.call(0, key)}")
            await world.judge()
        self.assert_gold("claims-lost-answer", text + world.text())

    @asynchronous
    async def test_an_outage_refuses_calls_and_delays_records_of_sent_ones(
        self,
    ):
        async with World() as world:
            key = world.key()
            world.store.faults.down = True
            began = world.clock.now()
            world.note(f"down before: {await world.call(0, key)}")
            world.note(f"waited {world.clock.now() - began} ms")
            world.store.faults.down = False
            first = await world.stop(0, "after run", key)
            world.store.faults.down = True
            world.entries[0].gate.wake()
            await world.settle(first)
            world.note(f"down after the send: {first.text}")
            world.note(f"retry meanwhile: {await world.call(1, key)}")
            world.store.faults.down = False
            await world.clock.advance(2_000)
            world.note(f"store is back: {await world.call(1, key)}")
            await world.judge()
        self.assert_gold("claims-store-down", world.text())

    @asynchronous
    async def test_an_unsent_claim_of_a_live_owner_is_taken_over(self):
        async with World() as world:
            key = world.key()
            first = await world.stop(0, "after write", key)
            # The caller disconnects, and the release can't reach the store.
            first.scope.cancel()
            world.entries[0].gate.cut = "both ways"
            world.entries[0].gate.wake()
            world.note(f"entry-1: {await world.call(1, key)}")
            world.entries[0].gate.cut = ""
            await world.clock.advance(3_000)
            world.note(f"entry-0: {await world.call(0, key)}")
            await world.judge()
        self.assert_gold("claims-taken-over", world.text())

    @asynchronous
    async def test_an_endpoint_crash_during_a_call_leaves_the_outcome_unknown(
        self,
    ):
        async with World() as world:
            key = world.key()
            world.counting_endpoint.dies = True
            world.note(f"dies: {await world.call(0, key)}")
            world.counting_endpoint.dies = False
            world.note(f"again: {await world.call(1, key)}")
            await world.judge()
            world.note("# the connection is refused, once and always")
            world.counting_endpoint.refuses = 1
            world.note(f"once: {await world.call(0, world.key(1))}")
            world.counting_endpoint.refuses = 3
            world.note(f"always: {await world.call(0, world.key(2))}")
            await world.judge()
            world.note(f"again: {await world.call(1, world.key(2))}")
            await world.judge()
            world.note("# the caller hangs up in the call")
            third = await world.stop(0, "after run", world.key(3))
            third.scope.cancel()
            world.entries[0].gate.wake()
            world.note(f"again: {await world.call(1, world.key(3))}")
            await world.judge()
        self.assert_gold("claims-endpoint", world.text())

    @asynchronous
    async def test_keys_are_checked_before_anything_runs(self):
        async with World(1) as world:
            day = 24 * 3_600_000
            calls = {
                "none": None,
                "opaque": "order-17",
                "UUIDv4": "6a2f41a3-c54c-4c0e-9f5b-0123456789ab",
                "nearly a day old": world.key(1, age_ms=day - 5000),
                "older than a day": world.key(2, age_ms=day + 1),
                "of tomorrow": world.key(1, age_ms=-day),
            }
            for name, key in calls.items():
                world.note(f"{name}: {await world.call(0, key)}")
            world.counting_endpoint.body = {"long": "x" * 5000}
            await world.call(0, world.key(3))
            world.note(f"long answer: {await world.call(0, world.key(3))}")
            await world.judge()
        self.assert_gold("claims-keys", world.text())

    @asynchronous
    async def test_each_refusal_with_the_verdict_not_run_is_correct(self):
        async with World(1) as world:
            entry = world.entries[0]
            reasons = (
                Reason.RATE_LIMITED,
                Reason.QUEUE_FULL,
                Reason.DEADLINE,
                Reason.NO_ENDPOINT,
                Reason.BROKER_UNAVAILABLE,
                Reason.QUARANTINED,
            )
            for number, reason in enumerate(reasons):
                entry.permits.failure = not_run(reason, "-")
                for key in (None, world.key(number)):
                    path = "/services/booking/" + ("book" if key else "slots")
                    response = await world.call(0, key, path=path)
                    world.note(
                        f"{path[18:]} {response}; "
                        f"ran {len(world.counting_endpoint.ran)}"
                    )
                entry.permits.failure = None
            others = {
                "no such service": ("/services/none/x", None),
                "not the account's": ("/services/empty/x", None),
                "key missing": ("/services/booking/book", None),
                "key expired": ("/services/booking/book", world.key(1, 9**10)),
            }
            for name, (path, key) in others.items():
                response = await world.call(0, key, path=path)
                world.note(
                    f"{name}: {response}; "
                    f"ran {len(world.counting_endpoint.ran)}"
                )
            world.counting_endpoint.refuses = 3
            response = await world.call(0, None, path="/services/booking/slots")
            world.note(
                f"no connection: {response}; "
                f"ran {len(world.counting_endpoint.ran)}"
            )
            world.store.faults.down = True
            response = await world.call(0, world.key(50))
            world.note(
                f"store down: {response}; "
                f"ran {len(world.counting_endpoint.ran)}"
            )
            world.store.faults.down = False
            world.counting_endpoint.dies = True
            response = await world.call(0, world.key(60))
            world.note(f"broken after a byte: {response}; ran 1")
            world.note(f"permits held {entry.permits.held}")
        self.assert_gold("refusals", world.text())
