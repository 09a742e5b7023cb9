"""Reports an entry's open streams to the owners of their pools."""

import anyio

from rhubarbwinch.admission.digests import StreamReportBuilder
from rhubarbwinch.admission.permits import Permit, PermitClient, pool_owner
from rhubarbwinch.links.linkinterfaces import RunningPeerCaller
from rhubarbwinch.links.messages import DigestReply, StreamProgress
from rhubarbwinch.membership.members import Members, Role
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import CodecError, LinkError

# The report period grows with the number of entries, so that the number of
# reports that an owner receives per second stays constant.
PERIOD_MS_PER_ENTRY = 60
MIN_PERIOD_MS = 2000
MAX_REPORT_PERIOD_MS = 20_000
REPLY_TIMEOUT_MS = 1000


class StreamReporter:
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
        links: RunningPeerCaller,
        clock: Clock,
    ) -> None:
        self._report_builder = StreamReportBuilder(entry)
        self._permits = permits
        self._members = members
        self._links = links
        self._clock = clock
        # The owner that each pool's last full report was sent to.
        self._informed_owners: dict[str, str] = {}
        self._members_changed = anyio.Event()
        members.on_change(self._on_members_changed)

    @property
    def _period_ms(self) -> int:
        entries = len(self._members.serving(Role.ENTRY))
        period = entries * PERIOD_MS_PER_ENTRY
        return min(max(period, MIN_PERIOD_MS), MAX_REPORT_PERIOD_MS)

    async def run(self) -> None:
        """Sends reports until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._report_to_new_owners)
            while True:
                await self._clock.sleep(self._period_ms)
                await self._send_all_reports()

    async def _send_all_reports(self) -> None:
        """Sends a report to each pool's owner, concurrently."""
        permits_by_pool = self._permits_by_pool()
        async with anyio.create_task_group() as tasks:
            for pool in sorted(
                set(self._informed_owners) | set(permits_by_pool)
            ):
                tasks.start_soon(
                    self._send_report, pool, permits_by_pool.get(pool, [])
                )

    async def _report_to_new_owners(self) -> None:
        """Sends full reports to new owners, which rebuild their view."""
        while True:
            await self._members_changed.wait()
            self._members_changed = anyio.Event()
            for pool, permits in sorted(self._permits_by_pool().items()):
                owner = pool_owner(pool, self._members)
                if (
                    owner is not None
                    and self._informed_owners.get(pool) != owner.name
                ):
                    await self._send_full_report(pool, permits)

    async def _send_report(self, pool: str, permits: list[Permit]) -> None:
        owner = pool_owner(pool, self._members)
        if owner is None:
            return
        if self._informed_owners.get(pool) != owner.name:
            await self._send_full_report(pool, permits)
            return
        digest = self._report_builder.digest(pool, _stream_progress(permits))
        if not permits:
            # This last, empty digest reports that no stream is open there.
            self._informed_owners.pop(pool, None)
        try:
            reply = await self._links.call(
                owner.link, digest, DigestReply, REPLY_TIMEOUT_MS
            )
        except (LinkError, CodecError):
            # The next report is sent to the pool's owner at that time.
            return
        if reply.wants_all:
            latest = self._permits_by_pool().get(pool, [])
            await self._send_full_report(pool, latest)

    async def _send_full_report(self, pool: str, permits: list[Permit]) -> None:
        """Sends a full report of the pool's open streams to its owner."""
        owner = pool_owner(pool, self._members)
        if owner is None:
            return
        report = self._report_builder.build_full_report(
            pool, _stream_progress(permits)
        )
        try:
            await self._links.send(owner.link, report)
        except LinkError:
            # The next report is sent to the pool's owner at that time.
            return
        self._informed_owners[pool] = owner.name

    def _permits_by_pool(self) -> dict[str, list[Permit]]:
        found: dict[str, list[Permit]] = {}
        for permit in self._permits.open_permits:
            found.setdefault(permit.request.pool, []).append(permit)
        return found

    def _on_members_changed(self) -> None:
        self._members_changed.set()


def _stream_progress(permits: list[Permit]) -> list[StreamProgress]:
    return [
        StreamProgress(p.request, p.grant.endpoint, p.tokens) for p in permits
    ]
