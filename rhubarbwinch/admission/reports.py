"""Reports an entry's open streams to the owners of their pools."""

import anyio

from rhubarbwinch.admission.digests import StreamReporter
from rhubarbwinch.admission.permits import Permit, PermitClient, pool_owner
from rhubarbwinch.links.linktypes import RunningCaller
from rhubarbwinch.links.messages import DigestReply, StreamProgress
from rhubarbwinch.membership.members import Members, Role
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import CodecError, LinkError

# The report period grows with the number of entries, so that the number of
# reports that an owner receives per second stays constant.
PERIOD_MS_PER_ENTRY = 60
MIN_PERIOD_MS = 2000
MAX_PERIOD_MS = 20_000
REPLY_TIMEOUT_MS = 1000


class Reporter:
    """Sends periodic reports, and a full report to each new owner at once.

    Args:
        entry: This entry's name.
        permits: The client that holds the open permits.
        members: The known members, which determine the owner of each pool.
        links: The links to the owners.
        clock: The source of time.
    """

    def __init__(
        self,
        entry: str,
        permits: PermitClient,
        members: Members,
        links: RunningCaller,
        clock: Clock,
    ) -> None:
        self._reporter = StreamReporter(entry)
        self._permits = permits
        self._members = members
        self._links = links
        self._clock = clock
        # The owner that each pool's last full report was sent to.
        self._told: dict[str, str] = {}
        self._changed = anyio.Event()
        members.on_change(self._wake)

    @property
    def _period_ms(self) -> int:
        entries = len(self._members.serving(Role.ENTRY))
        period = entries * PERIOD_MS_PER_ENTRY
        return min(max(period, MIN_PERIOD_MS), MAX_PERIOD_MS)

    async def run(self) -> None:
        """Sends reports until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._report_moves)
            while True:
                await self._clock.sleep(self._period_ms)
                await self._report_all()

    async def _report_all(self) -> None:
        """Sends a report to each pool's owner, concurrently."""
        held = self._held()
        async with anyio.create_task_group() as tasks:
            for pool in sorted(set(self._told) | set(held)):
                tasks.start_soon(self._report, pool, held.get(pool, []))

    async def _report_moves(self) -> None:
        """Sends full reports to new owners, which rebuild their view."""
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            for pool, permits in sorted(self._held().items()):
                owner = pool_owner(pool, self._members)
                if owner is not None and self._told.get(pool) != owner.name:
                    await self._announce(pool, permits)

    async def _report(self, pool: str, permits: list[Permit]) -> None:
        owner = pool_owner(pool, self._members)
        if owner is None:
            return
        if self._told.get(pool) != owner.name:
            await self._announce(pool, permits)
            return
        digest = self._reporter.digest(pool, _streams(permits))
        if not permits:
            # This last, empty digest reports that no stream is open there.
            self._told.pop(pool, None)
        try:
            reply = await self._links.call(
                owner.link, digest, DigestReply, REPLY_TIMEOUT_MS
            )
        except (LinkError, CodecError):
            # The next report is sent to the pool's owner at that time.
            return
        if reply.wants_all:
            held = self._held().get(pool, [])
            await self._announce(pool, held)

    async def _announce(self, pool: str, permits: list[Permit]) -> None:
        """Sends a full report of the pool's open streams to its owner."""
        owner = pool_owner(pool, self._members)
        if owner is None:
            return
        report = self._reporter.announcement(pool, _streams(permits))
        try:
            await self._links.send(owner.link, report)
        except LinkError:
            # The next report is sent to the pool's owner at that time.
            return
        self._told[pool] = owner.name

    def _held(self) -> dict[str, list[Permit]]:
        found: dict[str, list[Permit]] = {}
        for permit in self._permits.open_permits:
            found.setdefault(permit.request.pool, []).append(permit)
        return found

    def _wake(self) -> None:
        self._changed.set()


def _streams(permits: list[Permit]) -> list[StreamProgress]:
    return [
        StreamProgress(p.request, p.grant.endpoint, p.tokens) for p in permits
    ]
