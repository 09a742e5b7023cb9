"""Failure notices of all gateways, for several kinds of faults."""

import unittest

import attrs

from rhubarbwinch.gateway.failurereports import (
    TRIAL_MS,
    WINDOW_MS,
    FailureReports,
    ServiceTraffic,
)
from rhubarbwinch.gateway.messages import FailureNotice

# 33 gateways with 30 engines, and with four busy plain endpoints.
GENERATIONS = ServiceTraffic(calls_each=0.04, local_gateways=11, gateways=33)
PLAIN_CALLS = ServiceTraffic(calls_each=0.6, local_gateways=11, gateways=33)


def _notice(number, data_center="dc-a", endpoint="e1"):
    return FailureNotice(f"g{number}", data_center, endpoint)


class FailureReportsTest(unittest.TestCase):
    """A gateway in data centre dc-a that receives failure notices."""

    def setUp(self):
        self.reports = FailureReports("dc-a")

    def _record(self, *notices, traffic=GENERATIONS, now_ms=0, step_ms=10):
        """Returns after how many reports the endpoint is avoided, or None."""
        for count, notice in enumerate(notices, 1):
            if self.reports.record_report(
                notice, traffic, now_ms + count * step_ms
            ):
                return count
        return None

    def test_reports_of_two_gateways_are_enough(self):
        everyone = [_notice(i) for i in range(1, 34)]
        self.assertEqual(self._record(*everyone), 2)

    def test_failures_at_one_gateway_are_not_enough(self):
        self.assertIsNone(self._record(*[_notice(1)] * 20))

    def test_failures_in_another_data_center_are_not_enough(self):
        others = [_notice(i, "dc-b") for i in range(1, 20)]
        self.assertIsNone(self._record(*others))

    def test_failures_in_two_other_data_centers_are_enough(self):
        mixed = [_notice(1, "dc-b"), _notice(2, "dc-c")]
        self.assertEqual(self._record(*mixed), 2)

    def test_an_endpoint_that_loses_one_response_in_twenty_is_kept(self):
        # 20 calls in a second, of which one fails in each data centre.
        rare = [_notice(1), _notice(2, "dc-b"), _notice(3, "dc-c")] * 10
        report_count = self._record(
            *rare, traffic=PLAIN_CALLS, step_ms=WINDOW_MS // 2
        )
        self.assertIsNone(report_count)

    def test_a_plain_endpoint_that_resets_a_third_of_its_calls_is_avoided(self):
        # Seven of 20 calls in a second fail, each at a different gateway.
        third_failed = [_notice(i, f"dc-{'abc'[i % 3]}") for i in range(14)]
        report_count = self._record(
            *third_failed, traffic=PLAIN_CALLS, step_ms=WINDOW_MS // 7
        )
        self.assertIsNotNone(report_count)

    def test_a_service_whose_endpoints_are_all_too_slow_keeps_them(self):
        # Half of all calls time out, evenly over the endpoints.
        names = [f"e{i}" for i in range(1, 5)]
        traffic = attrs.evolve(PLAIN_CALLS, endpoints=frozenset(names))
        timeouts = [
            _notice(i % 33, f"dc-{'abc'[i % 3]}", names[i % 4])
            for i in range(400)
        ]
        report_count = self._record(
            *timeouts, traffic=traffic, step_ms=WINDOW_MS // 40
        )
        self.assertIsNone(report_count)

    def test_failures_far_apart_do_not_add_up(self):
        rare = [_notice(i) for i in range(1, 9)]
        self.assertIsNone(self._record(*rare, step_ms=WINDOW_MS + 1))

    def test_one_failure_after_a_pause_is_enough(self):
        self.reports.record_pause("e1", 1_000)
        self.assertEqual(self._record(_notice(1), now_ms=1_000), 1)
        self.reports.record_pause("e1", 4_000)
        later = 4_000 + TRIAL_MS
        self.assertIsNone(self._record(_notice(1), now_ms=later))
