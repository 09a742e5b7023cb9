"""Known endpoints: leaving, expired, renewed and with reused ids."""

import unittest

from rhubarbwinch.gateway.endpoints import EndpointState
from rhubarbwinch.gateway.fleet import (
    EXPIRED_ENTRY_GRACE_MS,
    LEFT_RETENTION_MS,
    Fleet,
)
from rhubarbwinch.stores import positions
from tests.gatewaybuilders import endpoint


class FleetTest(unittest.TestCase):
    """Which endpoints accept requests after registrations and deletions."""

    def setUp(self):
        self.fleet = Fleet()
        self.fleet.apply_registration(endpoint("e1"), 0)
        self.fleet.apply_registration(endpoint("e2"), 0)

    def _names(self):
        return [k.endpoint.id for k in self.fleet.accepting_for_service("svc")]

    def test_a_draining_endpoint_gets_no_new_work(self):
        draining = endpoint("e1", state=EndpointState.DRAINING)
        self.assertTrue(self.fleet.apply_registration(draining, 5))
        self.assertEqual(self._names(), ["e2"])
        self.assertFalse(self.fleet.apply_registration(draining, 6))

    def test_a_deletion_without_an_outage_makes_the_endpoint_leave(self):
        self.assertTrue(self.fleet.remove("e1", 5, after_outage=False))
        self.assertEqual(self._names(), ["e2"])
        self.assertFalse(self.fleet.remove("e1", 6, after_outage=False))

    def test_an_entry_that_expired_in_an_outage_may_be_renewed(self):
        self.assertFalse(self.fleet.remove("e1", 100, after_outage=True))
        self.assertEqual(
            self.fleet.expire_endpoints(100 + EXPIRED_ENTRY_GRACE_MS - 1), []
        )
        self.assertEqual(self._names(), ["e1", "e2"])
        self.fleet.apply_registration(
            endpoint("e1"), 100 + EXPIRED_ENTRY_GRACE_MS - 1
        )
        self.assertEqual(
            self.fleet.expire_endpoints(100 + EXPIRED_ENTRY_GRACE_MS + 1), []
        )
        self.assertEqual(self._names(), ["e1", "e2"])

    def test_an_entry_that_cannot_have_expired_makes_its_endpoint_leave(self):
        # A peer that had responses from the store all the while is heard only
        # after the deletion.
        self.fleet.remove("e1", 100, after_outage=True)
        self.assertEqual(self.fleet.expire_endpoints(150, 101), [])
        due = self.fleet.expire_endpoints(200, 100)
        self.assertEqual([k.endpoint.id for k in due], ["e1"])
        self.assertEqual(self._names(), ["e2"])

    def test_an_endpoint_whose_expired_entry_is_not_renewed_leaves(self):
        self.fleet.remove("e1", 100, after_outage=True)
        due = self.fleet.expire_endpoints(100 + EXPIRED_ENTRY_GRACE_MS)
        self.assertEqual([k.endpoint.id for k in due], ["e1"])
        self.assertEqual(self._names(), ["e2"])

    def test_a_draining_endpoint_whose_entry_expires_gets_no_new_work(
        self,
    ):
        self.fleet.apply_registration(
            endpoint("e1", state=EndpointState.DRAINING), 50
        )
        self.fleet.remove("e1", 100, after_outage=True)
        self.assertEqual(self._names(), ["e2"])

    def test_a_restart_under_the_same_id_gets_new_work(self):
        self.fleet.apply_registration(
            endpoint("e1", state=EndpointState.DRAINING), 50
        )
        self.fleet.apply_registration(endpoint("e1", started_ms=2), 60)
        self.assertEqual(self._names(), ["e1", "e2"])

    def test_an_entry_from_before_its_notice_does_not_undo_it(self):
        """A restored store lists an endpoint as it was in the copy."""
        first, notice = positions.position(1, 30), positions.position(1, 50)
        copied, renewed = positions.position(2, 30), positions.position(2, 44)
        draining = endpoint("e1", state=EndpointState.DRAINING)
        self.fleet.apply_registration(endpoint("e1"), 10, first)
        self.fleet.apply_registration(draining, 20, notice)
        self.fleet.apply_registration(endpoint("e1"), 30, copied)
        self.fleet.apply_registration(endpoint("e2"), 10, first + 1)
        self.fleet.remove("e2", 20, after_outage=False)
        self.fleet.apply_registration(endpoint("e2"), 30, copied + 1)
        self.assertEqual(self._names(), [])
        self.fleet.apply_registration(endpoint("e2"), 40, renewed)
        self.assertEqual(self._names(), ["e2"])

    def test_an_endpoint_with_an_unreadable_entry_gets_no_new_work(self):
        self.fleet.mark_unreadable("e1")
        self.assertEqual(self._names(), ["e2"])
        self.fleet.apply_registration(endpoint("e1"), 60)
        self.assertEqual(self._names(), ["e1", "e2"])

    def test_endpoints_that_are_gone_are_forgotten(self):
        self.fleet.remove("e1", 0, after_outage=False)
        self.fleet.expire_endpoints(LEFT_RETENTION_MS + 1)
        self.assertIsNone(self.fleet.get("e1"))
