"""Tests of the deployment's status as operators see it."""

import unittest

import anyio

from lab.memberset import MemberSet
from rhubarbwinch.membership.members import Role
from rhubarbwinch.programs import ctl, fleetstatus
from rhubarbwinch.shared.exceptions import RecordError
from rhubarbwinch.stores import keys
from tests import builders
from tests.helpers import asynchronous


class FleetStatusTest(unittest.TestCase):
    """The status of records, pools, members and leaving VMs."""

    @asynchronous
    async def test_the_status_shows_records_pools_and_leaving_vms(self):
        async with anyio.create_task_group() as tasks:
            fleet = MemberSet(tasks)
            store, clock = fleet.store, fleet.clock
            for i in range(2):
                fleet.add(f"control-{i}", Role.CONTROL)
                fleet.add(f"broker-{i}", Role.BROKER)
            await clock.advance(3000)
            engines = [
                builders.endpoint(f"engine-{i}", f"10.0.0.{i}:80")
                for i in range(3)
            ]
            await ctl.apply(store, [builders.pool("vintner", engines)])
            key = "pool/vintner.dc-a"
            pending = await fleetstatus.get_record(store, key)
            await clock.advance(1000)
            taken = await fleetstatus.get_record(store, key)
            await fleetstatus.set_leaving(store, "10.0.0.1", True)
            await clock.advance(1000)
            status = await fleetstatus.read_status(store)
            entry = await store.get(keys.RECORDS + key)
            bad = entry.value.replace(b'"dc-a"', b'"DC A"')
            await store.swap(entry.key, entry.revision, bad)
            await clock.advance(1000)
            rejected = await fleetstatus.get_record(store, key)
            with self.assertRaises(RecordError):
                await fleetstatus.get_record(store, "pool/none")
            tasks.cancel_scope.cancel()
        self.assertEqual(
            [s.state for s in (pending, taken, rejected)],
            ["pending", "in force", "rejected"],
        )
        self.assertIn("data_center", rejected.error)
        self.assertEqual(status.generation, 2)
        self.assertEqual(status.leaving_vms, ["10.0.0.1"])
        (pool,) = status.pools
        self.assertEqual((pool.endpoints, pool.leaving), (3, 1))
        self.assertIn(pool.owner, ("broker-0", "broker-1"))
        names = [found.member.name for found in status.members]
        self.assertEqual(len(names), 4)
        self.assertEqual({found.generation for found in status.members}, {None})
