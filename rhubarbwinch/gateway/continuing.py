"""Fails runs over to another engine after their stream ended too early."""

import anyio

from rhubarbwinch.gateway import statistics
from rhubarbwinch.gateway.carrying import Carrier
from rhubarbwinch.gateway.context import Context
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.enginesends import EngineSends
from rhubarbwinch.gateway.loads import Room
from rhubarbwinch.gateway.rooms import RoomKeeper
from rhubarbwinch.gateway.runs import NewHome, Run
from rhubarbwinch.gateway.suspicion import Outcome
from rhubarbwinch.gateway.upstream import Answer
from rhubarbwinch.gateway.wire import MemoryCopy
from rhubarbwinch.shared import events

# How long a failover waits for a copy that is in flight when the stream breaks.
# Resuming from the copy is worth this pause.
COPY_WAIT_MS = 600
# What a run resumes from: a migrated copy, or the KV cache of a hot standby.
MOVE = "move"
BACKUP = "backup"


class Continuation:
    """Resumes runs at other engines.

    Args:
        context: The objects shared by all requests.
        rooms: Reserves capacity at engines.
        carrier: Migrates the KV caches of runs.
        sends: Sends generations to engines.
    """

    def __init__(
        self,
        context: Context,
        rooms: RoomKeeper,
        carrier: Carrier,
        sends: EngineSends,
    ) -> None:
        self._context = context
        self._rooms = rooms
        self._carrier = carrier
        self._sends = sends

    async def go_on(self, run: Run, source: Endpoint) -> Answer | None:
        """Resumes a run from its KV cache, or restarts it if that is allowed.

        Returns:
            The response of the next engine, or None if the run cannot resume.
        """
        self._context.note(
            run.job, run.job.service, source.id, self._blame(source)
        )
        if run.copying is not None:
            with anyio.move_on_after(COPY_WAIT_MS / 1000):
                await run.has_copy.wait()
        if run.home is not None:
            return await self._go_home(run, run.home, MOVE)
        if self._carrier.has_backup(run):
            return await self._go_home(run, self._backup_home(run), BACKUP)
        if run.job.route.is_resumable:
            return await self._begin_anew(run, source)
        return None

    def _blame(self, source: Endpoint) -> Outcome:
        """Returns the outcome to record for the engine of a broken stream."""
        known = self._context.fleet.get(source.id)
        if known is None or known.is_leaving:
            return Outcome.GOOD
        return Outcome.BROKEN

    def _backup_home(self, run: Run) -> NewHome:
        """Returns the standby of a run as the target to resume at."""
        assert run.backup is not None
        assert run.room is not None
        backup = run.backup
        room = Room(backup.endpoint, backup.tokens, 0, 1, self._context.loads)
        copy = MemoryCopy(backup.endpoint.address, run.id)
        return NewHome(room.hold(), copy, run.room.endpoint)

    async def _go_home(
        self, run: Run, home: NewHome, how: str
    ) -> Answer | None:
        """Resumes a run at the engine that has its KV cache."""
        # From here on the run owns the copy, so the copy is not freed.
        self._settle(run, home.room)
        await self._carrier.stop(
            run, home.source, home.room.endpoint, is_copy_used=how == MOVE
        )
        answer = await self._resume(run, home.room.endpoint, home.copy, how)
        if answer is not None:
            self._carrier.copy_if_leaving(run)
        return answer

    async def _begin_anew(self, run: Run, source: Endpoint) -> Answer | None:
        """Restarts a resumable run after its last event at another engine."""
        job = run.job
        if job.sends >= job.route.max_attempts:
            return None
        job.tried.add(source.id)
        if not self._sends.may_send_again(run):
            return None
        run.release()
        if await self._rooms.place(run) is not None or run.room is None:
            return None
        await self._carrier.stop(
            run, source, run.room.endpoint, is_copy_used=False
        )
        result = await self._sends.open(run, run.room.endpoint, None)
        return result if isinstance(result, Answer) else None

    def _settle(self, run: Run, room: Room) -> None:
        """Replaces the reservation of a run and reserves a new standby."""
        run.release()
        run.room = room
        if run.copying is not None:
            run.copying.cancel()
            run.copying = None
        self._rooms.hold_backup(run)
        self._rooms.note_change()

    async def _resume(
        self, run: Run, endpoint: Endpoint, copy: MemoryCopy, how: str
    ) -> Answer | None:
        """Sends a generation to the engine that has its KV cache."""
        if not self._sends.may_send_again(run):
            return None
        result = await self._sends.open(run, endpoint, copy)
        is_good = isinstance(result, Answer)
        statistics.MOVES.labels(how, "good" if is_good else "failed").inc()
        events.CARRIED_ON.log(
            request=run.id,
            endpoint=endpoint.id,
            how=how,
            good=is_good,
            after=run.last_event_id,
            pause_ms=self._context.clock.now() - run.last_event_ms,
        )
        return result if isinstance(result, Answer) else None
