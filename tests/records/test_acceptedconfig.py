"""Tests of snapshots of the accepted configuration."""

import unittest

from rhubarbwinch.records import acceptedconfig
from rhubarbwinch.records.records import Record
from tests import builders


class ConfigSnapshotTest(unittest.TestCase):
    """Snapshots built from all records and by revision."""

    def test_a_revised_snapshot_equals_one_built_from_all_records(self):
        old = [builders.account("a"), builders.account("b"), builders.model()]
        new = [builders.account("a", weight=2.0), builders.generate_service()]
        first = acceptedconfig.make_snapshot(1, old)
        revised = acceptedconfig.revise_snapshot(first, 2, old[:2], new)
        self.assertEqual(
            revised, acceptedconfig.make_snapshot(2, [old[2], *new])
        )
        self.assertEqual(first, acceptedconfig.make_snapshot(1, old))

    def test_a_record_of_a_newer_schema_is_kept_but_not_active(self):
        newer = Record("account", "a", 9, {"unknown": [1, 2]})
        snapshot = acceptedconfig.make_snapshot(1, [newer])
        self.assertEqual(snapshot.records["account/a"], newer)
        self.assertNotIn("a", snapshot.accounts)
        chunk = acceptedconfig.pack_chunks([newer])[
            acceptedconfig.slot_of(newer)
        ]
        self.assertEqual(acceptedconfig.unpack_chunk(chunk), [newer])

    def test_pools_of_one_data_centre_share_requests_and_come_first(self):
        def pool(name, data_center):
            spec = {"target": "vintner", "data_center": data_center}
            return Record("pool", name, 2, spec)

        pools = [pool("p1", "here"), pool("p2", "here"), pool("p3", "there")]
        snapshot = acceptedconfig.make_snapshot(1, pools)
        orders = [
            snapshot.pools_local_first("vintner", "here", f"request-{i}")
            for i in range(50)
        ]
        self.assertEqual({order[2] for order in orders}, {"p3"})
        self.assertEqual({order[0] for order in orders}, {"p1", "p2"})
