"""Tests digests of open streams."""

import unittest

from rhubarbwinch.admission.digests import (
    GROWTH_REPORT_TOKENS,
    DigestChecker,
    StreamReportBuilder,
    request_key,
)
from rhubarbwinch.links.messages import StreamProgress
from tests import builders


def _stream(request_id, tokens=0):
    request = builders.permit_request(request_id)
    return StreamProgress(request, "engine-1", tokens)


class DigestTest(unittest.TestCase):
    """An entry's digests compared with an owner's view."""

    def setUp(self):
        self.reporter = StreamReportBuilder("entry-1")
        self.checker = DigestChecker()

    def _wants_all(self, streams, known):
        report = self.reporter.digest("p", streams)
        return self.checker.needs_full_report(report, known)

    def test_an_equal_view_in_any_order_needs_no_full_report(self):
        streams = [_stream("a"), _stream("b")]
        for _ in range(3):
            self.assertFalse(self._wants_all(streams, ["b", "a"]))

    def test_a_second_mismatch_in_a_row_requests_a_full_report(self):
        self.assertFalse(self._wants_all([_stream("a")], ["a", "on-its-way"]))
        self.assertFalse(self._wants_all([_stream("a")], ["a"]))
        self.assertFalse(self._wants_all([_stream("a")], []))
        self.assertTrue(self._wants_all([_stream("a")], []))

    def test_a_replaced_stream_is_detected(self):
        self.assertFalse(self._wants_all([_stream("a")], ["b"]))
        self.assertTrue(self._wants_all([_stream("a")], ["b"]))

    def test_growth_is_reported_once_per_threshold(self):
        def grown(tokens):
            report = self.reporter.digest("p", [_stream("a", tokens)])
            return report.grown

        self.assertEqual(grown(GROWTH_REPORT_TOKENS - 1), [])
        (growth,) = grown(GROWTH_REPORT_TOKENS)
        self.assertEqual(growth.key, request_key("a"))
        self.assertEqual(growth.tokens, GROWTH_REPORT_TOKENS)
        self.assertEqual(grown(GROWTH_REPORT_TOKENS + 1), [])

    def test_a_full_report_includes_the_growth(self):
        streams = [_stream("a", GROWTH_REPORT_TOKENS)]
        self.reporter.build_full_report("p", streams)
        self.assertEqual(self.reporter.digest("p", streams).grown, [])
