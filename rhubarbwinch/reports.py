"""An entry's reports of its open streams to the owners of their pools."""

import anyio

from rhubarbwinch.clock import Clock
from rhubarbwinch.exceptions import LinkError
from rhubarbwinch.linktypes import RunningCaller
from rhubarbwinch.members import Member, Members
from rhubarbwinch.messages import ProgressReport, StreamProgress
from rhubarbwinch.permits import Permit, PermitClient, pool_owner

REPORT_MS = 1000


class Reporter:
    """Reports regularly, and at once to the new owner of a pool.

    Args:
        entry: This member's name.
        permits: The permits that are held.
        members: Decides who owns a pool.
        links: Calls the owners.
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
        self._entry = entry
        self._permits = permits
        self._members = members
        self._links = links
        self._clock = clock
        # The owner that each pool's last report went to.
        self._told: dict[str, str] = {}
        self._changed = anyio.Event()
        members.on_change(self._wake)

    async def run(self) -> None:
        """Reports until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._report_moves)
            while True:
                await self._clock.sleep(REPORT_MS)
                await self._report_all()

    async def _report_all(self) -> None:
        held = self._held()
        for pool in sorted(set(self._told) | set(held)):
            await self._report(pool, held.get(pool, []))
            if pool not in held:
                # The empty report has said that nothing is open there.
                self._told.pop(pool, None)

    async def _report_moves(self) -> None:
        """Tells the new owners, so that they can rebuild their view."""
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            for pool, permits in sorted(self._held().items()):
                owner = pool_owner(pool, self._members)
                if owner is not None and self._told.get(pool) != owner.name:
                    await self._report(pool, permits)

    async def _report(self, pool: str, permits: list[Permit]) -> None:
        owner = pool_owner(pool, self._members)
        if owner is None:
            return
        streams = [
            StreamProgress(p.request, p.grant.endpoint, p.tokens)
            for p in permits
        ]
        report = ProgressReport(self._entry, pool, streams)
        if await self._send(owner, report):
            self._told[pool] = owner.name

    async def _send(self, owner: Member, report: ProgressReport) -> bool:
        try:
            await self._links.send(owner.link, report)
        except LinkError:
            # The next report goes to the pool's next owner.
            return False
        return True

    def _held(self) -> dict[str, list[Permit]]:
        found: dict[str, list[Permit]] = {}
        for permit in self._permits.open_permits:
            found.setdefault(permit.request.pool, []).append(permit)
        return found

    def _wake(self) -> None:
        self._changed.set()
