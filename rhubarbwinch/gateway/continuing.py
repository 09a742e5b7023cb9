"""Starts a generation whose stream ended too early where it can go on."""

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

# A copy that is on its way when the stream breaks pays for this wait.
COPY_WAIT_MS = 600
# Whose copy a run goes on from: of a move, or of an engine that followed it.
MOVE = "move"
BACKUP = "backup"


class Continuation:
    """Lets generations go on at other engines.

    Args:
        context: What all requests share.
        rooms: Holds room at engines.
        carrier: Has copies of runs made.
        sends: Sends to engines.
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
        """Starts a generation where its memory lies, or anew if it may."""
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
        """Returns what a broken stream says of its engine."""
        known = self._context.fleet.get(source.id)
        if known is None or known.is_leaving:
            return Outcome.GOOD
        return Outcome.BROKEN

    def _backup_home(self, run: Run) -> NewHome:
        """Returns the engine that has followed a run as its new home."""
        assert run.backup is not None
        assert run.room is not None
        backup = run.backup
        room = Room(backup.endpoint, backup.tokens, 0, 1, self._context.loads)
        copy = MemoryCopy(backup.endpoint.address, run.id)
        return NewHome(room.hold(), copy, run.room.endpoint)

    async def _go_home(
        self, run: Run, home: NewHome, how: str
    ) -> Answer | None:
        """Goes on at the engine that has the copy."""
        # From here on the copy is the run's own, and nobody frees it.
        self._settle(run, home.room)
        await self._carrier.stop(
            run, home.source, home.room.endpoint, is_copy_used=how == MOVE
        )
        answer = await self._resume(run, home.room.endpoint, home.copy, how)
        if answer is not None:
            self._carrier.copy_if_leaving(run)
        return answer

    async def _begin_anew(self, run: Run, source: Endpoint) -> Answer | None:
        """Starts a resumable generation after the last event elsewhere."""
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
        """Gives the old room back, and protects the run at its new engine."""
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
        """Sends a generation to where its memory lies."""
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
