"""Tests the admission decisions of one pool, under a manual clock."""

import random
import unittest

from rhubarbwinch.admission.admission import (
    ENTRY_TIMEOUT_MS,
    Admission,
    AdmissionOptions,
    LoadReport,
)
from rhubarbwinch.links.messages import (
    PermitRelease,
    ProgressReport,
    StreamEnd,
    StreamProgress,
)
from rhubarbwinch.records.records import (
    AccountSpec,
    EndpointSpec,
    PoolSpec,
    Room,
)
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.verdict import Reason, Verdict
from tests import builders

POOL = "vintner.dc-a"


class Pool:
    """An Admission with two engines, and helpers to drive it."""

    def __init__(
        self,
        capacity=10_000,
        max_running=64,
        options=None,
        step_ms=20.0,
        **specs,
    ):
        self.clock = ManualClock()
        self.step_ms = step_ms
        accounts = {name: AccountSpec(**spec) for name, spec in specs.items()}
        spec = PoolSpec(
            "vintner",
            "dc-a",
            [EndpointSpec(f"e{i}", "127.0.0.1:1") for i in range(2)],
            max_running,
        )
        self.admission = Admission(
            spec, self.clock, random.Random(1), accounts, options
        )
        self.capacity = capacity
        self.number = 0
        self.report_loads()

    def report_loads(self):
        """Sends a load report of both engines."""
        for name in ("e0", "e1"):
            report = LoadReport(
                name,
                self.clock.now(),
                running=1,
                capacity_tokens=self.capacity,
                step_ms=self.step_ms,
            )
            self.admission.apply_load_report(report)

    def advance(self, ms):
        """Advances the clock with load reports; returns all decisions."""
        decisions = []
        for _ in range(ms // 100):
            self.clock.set(self.clock.now() + 100)
            self.report_loads()
            decisions += self.admission.decide()
        return decisions

    def submit(self, **fields):
        """Submits a request and returns all decisions."""
        self.number += 1
        base = {"max_tokens": 400, "prompt_tokens": 100, "interactive": False}
        request = builders.permit_request(
            f"r{self.number}", **(base | {"wait_ms": 10_000} | fields)
        )
        return self.admission.submit(request)

    def end(self, request_id, end=StreamEnd.FINISHED, tokens=10):
        """Releases a permit and returns all decisions."""
        release = PermitRelease(request_id, POOL, end, tokens)
        return self.admission.release(release)


def granted(decisions):
    """Returns the ids of granted requests."""
    return [d.request_id for d in decisions if d.reply.grant]


def failures(decisions):
    """Returns the failures of refused requests."""
    return [d.reply.failure for d in decisions if d.reply.failure]


class TokenGapTest(unittest.TestCase):
    """Engines that are predicted to miss the token gap target."""

    def test_each_slow_engine_serves(self):
        for step_ms in (40.0, 90.0):
            pool = Pool(capacity=100_000, step_ms=step_ms)
            pool.advance(5000)
            count = sum(len(granted(pool.submit())) for _ in range(4))
            self.assertGreaterEqual(count, 2, step_ms)

    def test_an_idle_engine_gets_a_stream_despite_the_prediction(self):
        pool = Pool(capacity=100_000)
        for tokens in range(0, 4000, 100):
            report = LoadReport(
                "e0", 0, 1, used_tokens=tokens, step_ms=float(tokens)
            )
            pool.admission.apply_load_report(report)
        pool.report_loads()
        count = sum(len(granted(pool.submit())) for _ in range(4))
        self.assertEqual(count, 2)


class LimitsTest(unittest.TestCase):
    """Limits of accounts."""

    def test_the_limit_of_requests_in_flight_is_exact(self):
        pool = Pool(acme={"room": Room(requests=3)})
        started = [i for _ in range(6) for i in granted(pool.submit())]
        self.assertEqual(len(started), 3)
        self.assertEqual(len(granted(pool.end(started[0]))), 1)
        self.assertEqual(granted(pool.advance(500)), [])

    def test_the_limit_of_tokens_in_flight_is_exact(self):
        # Each request has 100 prompt tokens and 200 expected output tokens.
        pool = Pool(acme={"room": Room(tokens=700)})
        started = [i for _ in range(4) for i in granted(pool.submit())]
        self.assertEqual(len(started), 2)
        for request_id in started:
            pool.end(request_id, StreamEnd.CANCELLED)
        self.assertEqual(pool.admission.queue_length, 0)

    def test_a_request_over_the_token_limit_is_refused_immediately(self):
        pool = Pool(acme={"room": Room(tokens=200)})
        (failure,) = failures(pool.submit())
        self.assertIs(failure.reason, Reason.RATE_LIMITED)
        self.assertIs(failure.verdict, Verdict.NOT_RUN)

    def test_an_account_at_its_limit_does_not_block_others(self):
        pool = Pool(acme={"room": Room(requests=1)})
        pool.submit()
        pool.submit()
        self.assertEqual(granted(pool.submit(account="other")), ["r3"])

    def test_a_request_over_the_rate_is_refused_with_a_retry_delay(self):
        pool = Pool(acme={"requests_per_second": 2.0})
        decisions = [d for _ in range(3) for d in pool.submit()]
        self.assertEqual(len(granted(decisions)), 2)
        (failure,) = failures(decisions)
        pool.clock.set(failure.retry_after_ms)
        self.assertEqual(len(granted(pool.submit())), 1)

    def test_retries_beyond_the_budget_are_refused(self):
        pool = Pool(capacity=10**9, max_running=500)
        decisions = [d for _ in range(40) for d in pool.submit(avoid=["e0"])]
        self.assertEqual(len(granted(decisions)), 10)
        self.assertIs(failures(decisions)[0].reason, Reason.RATE_LIMITED)


class PlacementTest(unittest.TestCase):
    """KV cache limits, headroom and endpoints that must not be used."""

    def test_kv_cache_is_not_overcommitted_once_lengths_are_known(self):
        pool = Pool(capacity=3000)
        for _ in range(60):
            decisions = pool.submit(wait_ms=0)
            if granted(decisions):
                pool.end(decisions[0].request_id, tokens=400)
        count = sum(len(granted(pool.submit())) for _ in range(20))
        # Each request grows to 500 tokens.
        self.assertLessEqual(count * 500, 2 * 3000)
        self.assertGreaterEqual(count, 8)

    def test_headroom_is_left_for_interactive_work(self):
        pool = Pool(capacity=10_000)
        while granted(pool.submit()):
            pass
        answer = pool.submit(interactive=True, max_tokens=20, prompt_tokens=50)
        self.assertEqual(len(granted(answer)), 1)

    def test_a_leaving_endpoint_gets_no_requests(self):
        pool = Pool()
        pool.admission.set_leaving({"e0"})
        decisions = [d for _ in range(6) for d in pool.submit()]
        endpoints = {d.reply.grant.endpoint for d in decisions}
        self.assertEqual(endpoints, {"e1"})

    def test_an_endpoint_without_load_reports_gets_no_requests(self):
        pool = Pool()
        pool.clock.set(5000)
        pool.admission.apply_load_report(
            LoadReport("e1", 5000, capacity_tokens=10_000, step_ms=20.0)
        )
        decisions = [d for _ in range(6) for d in pool.submit()]
        endpoints = {d.reply.grant.endpoint for d in decisions}
        self.assertEqual(endpoints, {"e1"})

    def test_an_endpoint_that_lost_a_request_is_unused_until_it_reports(self):
        pool = Pool()
        endpoint = pool.submit()[0].reply.grant.endpoint
        pool.end("r1", StreamEnd.ENDPOINT_LOST)
        others = [pool.submit()[0].reply.grant.endpoint for _ in range(4)]
        self.assertNotIn(endpoint, others)
        pool.advance(100)
        later = [pool.submit()[0].reply.grant.endpoint for _ in range(4)]
        self.assertIn(endpoint, later)

    def test_an_engine_that_refused_is_tried_again_if_no_other_is_up(self):
        pool = Pool()
        pool.submit()
        pool.end("r1", StreamEnd.ENDPOINT_LOST)
        up = [
            name
            for name, engine in pool.admission._engines.items()
            if not engine.is_suspected_down(0)
        ]
        retried = pool.submit(avoid=up)
        self.assertIn(retried[0].reply.grant.endpoint, up)

    def test_an_engine_that_refused_is_avoided_while_others_are_up(self):
        pool = Pool()
        names = list(pool.admission._engines)
        for _ in range(4):
            decision = pool.submit(avoid=names[:1])[0]
            self.assertNotEqual(decision.reply.grant.endpoint, names[0])

    def test_a_background_stream_is_lowered_when_kv_cache_runs_out(self):
        pool = Pool(capacity=3000)
        streams = [
            StreamProgress(
                builders.permit_request(
                    request_id,
                    interactive=is_interactive,
                    max_tokens=400,
                    prompt_tokens=1700,
                ),
                "e0",
                10,
            )
            for request_id, is_interactive in (("long", False), ("short", True))
        ]
        report = ProgressReport("entry-1", POOL, streams)
        pool.admission.apply_progress_report(report)
        pool.advance(1000)
        (entry_message,) = pool.admission.pop_priority_changes()
        self.assertEqual(entry_message.entry, "entry-1")
        self.assertEqual(entry_message.message.request_id, "long")


class RefusalTest(unittest.TestCase):
    """Refusals of requests that can't or did not start in time."""

    def test_a_request_that_cannot_start_in_time_is_refused_immediately(self):
        pool = Pool(max_running=2)
        for _ in range(12):
            pool.submit(wait_ms=600_000)
        pool.advance(1000)
        (failure,) = failures(pool.submit(wait_ms=100))
        self.assertIs(failure.reason, Reason.DEADLINE)
        self.assertIs(failure.verdict, Verdict.NOT_RUN)
        self.assertGreaterEqual(failure.retry_after_ms, 1000)

    def test_a_queued_request_is_refused_at_its_deadline(self):
        pool = Pool(
            max_running=1, options=AdmissionOptions(rejects_early=False)
        )
        for _ in range(3):
            pool.submit(wait_ms=500)
        (failure,) = failures(pool.advance(600))
        self.assertIs(failure.reason, Reason.DEADLINE)
        self.assertEqual(pool.admission.queue_length, 0)

    def test_an_overdue_background_request_precedes_interactive_ones(self):
        pool = Pool(max_running=1)
        started = [granted(pool.submit(interactive=True))[0] for _ in "ab"]
        pool.submit(wait_ms=10_000)
        pool.advance(6000)
        pool.submit(interactive=True, wait_ms=10_000)
        self.assertEqual(granted(pool.end(started[0])), ["r3"])


class ReportTest(unittest.TestCase):
    """Reports of open streams by entries."""

    def test_a_new_owner_enforces_limits_after_the_first_reports(self):
        pool = Pool(acme={"room": Room(requests=3)})
        streams = [
            StreamProgress(
                builders.permit_request(f"old-{i}", max_tokens=400), "e0", 5
            )
            for i in range(3)
        ]
        pool.admission.apply_progress_report(
            ProgressReport("entry-1", POOL, streams)
        )
        self.assertEqual(granted(pool.submit()), [])
        self.assertEqual(granted(pool.end("old-0")), ["r1"])

    def test_a_stream_that_its_entry_no_longer_reports_is_dropped(self):
        pool = Pool(acme={"room": Room(requests=1)})
        pool.submit()
        pool.submit(wait_ms=100_000)
        empty = ProgressReport("entry-1", POOL, [])
        pool.admission.apply_progress_report(empty)
        self.assertEqual(granted(pool.advance(100)), [])
        pool.advance(2500)
        pool.admission.apply_progress_report(empty)
        self.assertEqual(granted(pool.advance(100)), ["r2"])

    def test_a_late_report_does_not_restore_a_released_stream(self):
        pool = Pool(acme={"room": Room(requests=1)})
        pool.submit()
        pool.end("r1")
        stream = StreamProgress(builders.permit_request("r1"), "e0", 5)
        pool.admission.apply_progress_report(
            ProgressReport("entry-1", POOL, [stream])
        )
        self.assertEqual(granted(pool.submit()), ["r2"])

    def test_the_streams_of_an_entry_without_reports_are_dropped(self):
        pool = Pool(acme={"room": Room(requests=1)})
        pool.submit()
        pool.submit(wait_ms=100_000)
        almost = ENTRY_TIMEOUT_MS - 1000
        self.assertEqual(granted(pool.advance(almost)), [])
        self.assertEqual(granted(pool.advance(3000)), ["r2"])


class PolicyTest(unittest.TestCase):
    """The placement policies that use no forecast."""

    def test_each_policy_keeps_to_the_limit_of_running_requests(self):
        for name in ("round-robin", "least-outstanding", "least-load"):
            pool = Pool(max_running=3, options=AdmissionOptions(placement=name))
            count = sum(len(granted(pool.submit())) for _ in range(9))
            self.assertEqual(count, 6, name)

    def test_reserving_the_maximum_never_overcommits(self):
        options = AdmissionOptions(placement="reserve-maximum")
        pool = Pool(capacity=1100, options=options)
        count = sum(len(granted(pool.submit())) for _ in range(9))
        self.assertEqual(count, 4)
