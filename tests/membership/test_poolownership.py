"""Tests of a change of a pool's owner while the pool's engines are full."""

import random

import anyio

from lab.memberset import MemberSet
from rhubarbwinch.admission.permits import PermitClient, pool_owner
from rhubarbwinch.admission.reports import StreamReporter
from rhubarbwinch.links.messages import (
    DigestReport,
    PermitRelease,
    PermitRequest,
    ProgressReport,
    StreamEnd,
)
from rhubarbwinch.membership.members import Role
from rhubarbwinch.membership.poolownership import PoolOwnership
from rhubarbwinch.programs import ctl
from rhubarbwinch.programs.broker import BrokerPools
from rhubarbwinch.shared.metrics import Metrics
from tests import builders
from tests.helpers import GoldTestCase, asynchronous

POOL = "vintner.dc-a"
TICK_MS = 20
REPORT_DELAY_MS = 50


def _add_broker(fleet, tasks, name):
    node = fleet.add(name, Role.BROKER)
    pools = BrokerPools(
        fleet.clock,
        random.Random(1),
        Metrics("", Role.BROKER),
        PoolOwnership(node.members, fleet.clock),
    )
    node.config.on_change(pools.configure)
    node.links.on(PermitRequest, pools.decide)
    node.links.on(PermitRelease, pools.release)
    node.links.on(ProgressReport, pools.apply_progress_report)
    node.links.on(DigestReport, pools.check_digest)

    async def tick():
        while True:
            await fleet.clock.sleep(TICK_MS)
            pools.tick()

    tasks.start_soon(tick)


class SlowSender:
    """Links that delay every message."""

    def __init__(self, links, clock):
        self._links = links
        self._clock = clock

    async def send(self, address, message):
        await self._clock.sleep(REPORT_DELAY_MS)
        await self._links.send(address, message)

    async def call(self, address, message, reply_type, timeout_ms):
        await self._clock.sleep(REPORT_DELAY_MS)
        return await self._links.call(address, message, reply_type, timeout_ms)


class PermitRequester:
    """An entry that requests permits.

    Args:
        fleet: The members.
        tasks: Runs the entry's reporter.
    """

    def __init__(self, fleet, tasks):
        node = fleet.add("entry-0")
        self.members = node.members
        self.permits = PermitClient(node.links, node.members, 500)
        self.lines = []
        self._number = 0
        slow = SlowSender(node.links, fleet.clock)
        reporter = StreamReporter(
            "entry-0", self.permits, node.members, slow, fleet.clock
        )
        tasks.start_soon(reporter.run)

    async def acquire_permit(self, label, avoid=""):
        """Requests a permit and records the result."""
        self._number += 1
        request = builders.permit_request(
            f"r{self._number}", pool=POOL, entry="entry-0", wait_ms=5000
        )
        reply = await self.permits.acquire_permit(request, avoid)
        result = "granted" if reply.is_ok() else reply.err_value.reason
        self.lines.append(f"{label}: {result}")

    def record_endpoints(self):
        held = sorted(p.grant.endpoint for p in self.permits.open_permits)
        self.lines.append(f"streams run at {' '.join(held)}")


class HandoverTest(GoldTestCase):
    """A broker that shuts down and whose pools get a new owner."""

    @asynchronous
    async def test_a_new_owner_neither_overfills_engines_nor_refuses(
        self,
    ):
        async with anyio.create_task_group() as tasks:
            fleet = MemberSet(tasks)
            fleet.add("control-0", Role.CONTROL)
            for i in range(2):
                _add_broker(fleet, tasks, f"broker-{i}")
            requester = PermitRequester(fleet, tasks)
            engines = [builders.endpoint(f"engine-{i}") for i in range(2)]
            await fleet.clock.advance(3000)
            pool = builders.pool("vintner", engines, max_running=1)
            await ctl.apply(fleet.store, [builders.model(), pool])
            await fleet.clock.advance(1000)
            for label in ("first", "second"):
                tasks.start_soon(requester.acquire_permit, label)
                await fleet.clock.advance(1000)
            requester.record_endpoints()
            owner = pool_owner(POOL, requester.members).name
            requester.lines.append(
                "# the pool's owner leaves; the next one is asked before it "
                "has the entry's report"
            )
            successor = next(n for n in ("broker-0", "broker-1") if n != owner)
            # At this time the entry's next regular report would reach the new
            # owner too late.
            await fleet.clock.advance(300)
            leaver = fleet.nodes[owner]
            leaver.members.leave()
            leaver.gossip.announce()
            while (
                pool_owner(POOL, fleet.nodes[successor].members).name == owner
            ):
                await fleet.clock.advance(1)
            tasks.start_soon(requester.acquire_permit, "third", owner)
            await fleet.clock.advance(2000)
            requester.record_endpoints()
            requester.lines.append("# the first ends")
            permit = requester.permits.open_permits[0]
            tasks.start_soon(
                requester.permits.release_permit, permit, StreamEnd.FINISHED
            )
            await fleet.clock.advance(500)
            requester.record_endpoints()
            tasks.cancel_scope.cancel()
        self.assert_gold("pool-handover", "\n".join(requester.lines) + "\n")
