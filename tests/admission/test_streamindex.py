"""Tests the digest checks of a pool's owner and its index of streams."""

import random
import unittest

from rhubarbwinch.admission.admission import REPORT_GRACE_MS, Admission
from rhubarbwinch.admission.digests import (
    GROWTH_REPORT_TOKENS,
    StreamReportBuilder,
)
from rhubarbwinch.links.messages import StreamProgress
from rhubarbwinch.records.records import check
from rhubarbwinch.shared.clock import ManualClock
from tests import builders


class DigestCheckTest(unittest.TestCase):
    """A pool's owner that receives the digests of two entries."""

    def setUp(self):
        self.clock = ManualClock()
        spec = check(builders.pool("vintner", [builders.endpoint("engine-1")]))
        self.pool = Admission(spec, self.clock, random.Random(1))
        self.reporter = StreamReportBuilder("entry-1")

    def _grant(self, request_id, entry="entry-1"):
        request = builders.permit_request(request_id, entry=entry)
        (decision,) = self.pool.submit(request)
        return StreamProgress(request, decision.reply.grant.endpoint, 0)

    def _wants_all(self, *streams):
        report = self.reporter.digest("vintner.dc-a", list(streams))
        return self.pool.check_digest(report)

    def test_an_owner_with_a_correct_view_requests_no_full_report(self):
        mine = self._grant("r1")
        self._grant("r2", entry="entry-2")
        for _ in range(3):
            self.assertFalse(self._wants_all(mine))

    def test_a_lost_release_is_repaired_by_a_full_report(self):
        kept, _ = self._grant("r1"), self._grant("r2")
        self._grant("r3", entry="entry-2")
        self.clock.set(REPORT_GRACE_MS)
        self.assertFalse(self._wants_all(kept))
        self.assertTrue(self._wants_all(kept))
        announced = self.reporter.build_full_report("vintner.dc-a", [kept])
        self.pool.apply_progress_report(announced)
        self.assertFalse(self._wants_all(kept))

    def test_a_new_owner_learns_all_streams(self):
        stream = StreamProgress(builders.permit_request("r9"), "engine-1", 7)
        self._wants_all(stream)
        self.assertTrue(self._wants_all(stream))
        announced = self.reporter.build_full_report("vintner.dc-a", [stream])
        self.pool.apply_progress_report(announced)
        self.assertFalse(self._wants_all(stream))

    def test_a_stream_that_moves_to_another_entry_counts_once(self):
        stream = self._grant("r1")
        moved = builders.permit_request("r1", entry="entry-2")
        other = StreamReportBuilder("entry-2")
        taken = [StreamProgress(moved, stream.endpoint, 5)]
        announced = other.build_full_report("vintner.dc-a", taken)
        self.pool.apply_progress_report(announced)
        report = other.digest("vintner.dc-a", taken)
        self.assertFalse(self.pool.check_digest(report))
        self.assertFalse(self._wants_all())
        self.assertFalse(self._wants_all())

    def test_reported_growth_updates_the_stream(self):
        stream = self._grant("r1")
        grown = StreamProgress(
            stream.request, stream.endpoint, 2 * GROWTH_REPORT_TOKENS
        )
        self.assertFalse(self._wants_all(grown))
        known = self.pool.streams.get("r1")
        self.assertEqual(known.tokens, 2 * GROWTH_REPORT_TOKENS)
