"""Tests that endpoints on leaving VMs stop receiving new work."""

import random

import anyio

from lab.memberset import MemberSet
from rhubarbwinch.admission.admission import AdmissionOptions
from rhubarbwinch.links.messages import PermitRelease, StreamEnd
from rhubarbwinch.membership.members import Role
from rhubarbwinch.membership.vmlist import Vm, VmListReader, VmState
from rhubarbwinch.programs import ctl
from rhubarbwinch.programs.broker import BrokerPools
from rhubarbwinch.records.records import Record
from rhubarbwinch.shared.exceptions import VmListError
from rhubarbwinch.shared.metrics import Metrics
from tests import builders
from tests.helpers import GoldTestCase, asynchronous

POOL = "vintner.dc-a"
REQUEST_INTERVAL_MS = 50
LIMIT_MS = 2000


class FakeVmList:
    """The platform's VM list as a test sets it; None makes reading it fail."""

    def __init__(self):
        self.vms = []

    async def read(self):
        if self.vms is None:
            raise VmListError("silent")
        return list(self.vms)


class Deployment:
    """Three brokers that grant permits continuously, and two controls.

    Args:
        tasks: Runs the members.
    """

    def __init__(self, tasks):
        self.tasks = tasks
        self.fleet = MemberSet(tasks)
        self.list = FakeVmList()
        self.lines = []
        self.granted_at = {}
        for i in range(2):
            node = self.fleet.add(f"control-{i}", Role.CONTROL)
            reader = VmListReader(
                self.list, node.members, node.leaving, self.fleet.clock
            )
            tasks.start_soon(reader.run)
        for i in range(3):
            self.add_broker(f"broker-{i}")

    def add_broker(self, name):
        node = self.fleet.add(name, Role.BROKER)
        # Each engine must receive work before the notice. With one request at
        # a time the default policy does not guarantee this.
        pools = BrokerPools(
            self.fleet.clock,
            random.Random(1),
            Metrics("", Role.BROKER),
            options=AdmissionOptions(placement="least-outstanding"),
        )
        node.config.on_change(pools.configure)
        node.leaving.on_change(
            lambda: pools.set_leaving_finder(node.leaving.leaving_endpoints)
        )
        self.tasks.start_soon(self._request_permits, name, pools)

    async def _request_permits(self, name, pools):
        """Requests permits in a loop and records their endpoints."""
        number = 0
        while True:
            await self.fleet.clock.sleep(REQUEST_INTERVAL_MS)
            number += 1
            request = builders.permit_request(f"{name}-{number}", wait_ms=0)
            reply = await pools.decide(request)
            if reply.grant is None:
                continue
            now = self.fleet.clock.now()
            self.granted_at[name, reply.grant.endpoint] = now
            release = PermitRelease(request.request_id, POOL, StreamEnd.UNUSED)
            await pools.release(release)

    async def observe(self, title, endpoint, seconds=10):
        """Advances the clock; records whether an endpoint still gets work."""
        clock = self.fleet.clock
        notice = clock.now()
        await clock.advance(seconds * 1000)
        self.lines.append(f"# {title}")
        for name in sorted(n for n in self.fleet.nodes if "broker" in n):
            last = self.granted_at.get((name, endpoint))
            if last is None:
                found = "never any"
            elif last > clock.now() - LIMIT_MS:
                found = "new work"
            elif last - notice <= LIMIT_MS:
                found = "no new work later than 2 s after the notice"
            else:
                found = f"the last {last - notice} ms after the notice"
            self.lines.append(f"{endpoint} at {name}: {found}")


def _records():
    endpoints = [
        builders.endpoint(f"engine-{i}", f"10.0.0.{i}:80") for i in range(3)
    ]
    return [builders.model(), builders.pool("vintner", endpoints)]


class LeavingVmsTest(GoldTestCase):
    """Endpoints on leaving VMs."""

    @asynchronous
    async def test_a_leaving_vms_endpoints_get_no_work_after_two_seconds(self):
        async with anyio.create_task_group() as tasks:
            deployment = Deployment(tasks)
            clock, store = deployment.fleet.clock, deployment.fleet.store
            await clock.advance(3000)
            await ctl.apply(store, _records())
            await deployment.observe("no notice", "engine-0")
            deployment.list.vms = [Vm("10.0.0.0", VmState.LEAVING)]
            await deployment.observe(
                "the list marks the VM as leaving", "engine-0"
            )
            deployment.add_broker("broker-new")
            await clock.advance(3000)
            await deployment.observe("a broker that starts later", "engine-0")
            deployment.list.vms = None
            await deployment.observe(
                "the list can not be read", "engine-0", 120
            )
            deployment.list.vms = [Vm("10.0.0.0", VmState.LIVE)]
            await deployment.observe("the list was wrong", "engine-0")
            deployment.list.vms = []
            await deployment.observe(
                "the VM is missing from the list", "engine-0"
            )
            store.faults.down = True
            store.notify_watches()
            readers = [
                name
                for name, node in deployment.fleet.nodes.items()
                if node.members.me.role is Role.CONTROL
            ]
            deployment.fleet.kill(readers[0])
            await clock.advance(10_000)
            deployment.list.vms = [Vm("10.0.0.1", VmState.LEAVING)]
            title = "the store is down and a control is dead"
            await deployment.observe(title, "engine-1")
            store.faults.down = False
            await clock.advance(3000)
            mark = Record("vm", "10.0.0.2", 2, {"leaving": True})
            await ctl.apply(store, [mark])
            await deployment.observe("an operator marks the VM", "engine-2")
            tasks.cancel_scope.cancel()
        self.assert_gold(
            "leaving-endpoints", "\n".join(deployment.lines) + "\n"
        )
