"""Relays the events of an engine to the caller, each once and in order."""

import enum
from collections.abc import AsyncGenerator
from contextlib import aclosing

import anyio

from rhubarbwinch.gateway import statistics
from rhubarbwinch.gateway.carrying import Carrier
from rhubarbwinch.gateway.context import Context
from rhubarbwinch.gateway.rooms import RoomKeeper
from rhubarbwinch.gateway.runs import Run
from rhubarbwinch.gateway.upstream import Answer
from rhubarbwinch.http.sse import Splitter
from rhubarbwinch.shared import events
from rhubarbwinch.shared.exceptions import EndpointError

# If a run can resume at another engine, its current engine is given up after
# this time without data. Events come every 30 ms, and by then the pause exceeds
# the route's limit in any case.
STALL_MS = 1_000
_OK = 200


class EventPlace(enum.Enum):
    """The position of an event relative to the last one relayed."""

    NEXT = enum.auto()
    REPEATED = enum.auto()
    AFTER_GAP = enum.auto()


class EventRelay:
    """Relays event streams from engines to callers.

    Args:
        context: The objects shared by all requests.
        rooms: Notified when a prefill is complete.
        carrier: Migrates runs whose engines leave.
    """

    def __init__(
        self, context: Context, rooms: RoomKeeper, carrier: Carrier
    ) -> None:
        self._context = context
        self._rooms = rooms
        self._carrier = carrier

    async def relay(self, run: Run, answer: Answer) -> bool:
        """Relays the events of one engine; returns whether the stream ended."""
        splitter = Splitter()
        try:
            async with aclosing(self._paced(run, answer)) as parts:
                async for data in parts:
                    await self._pass_on(run, answer, splitter, data)
        except EndpointError as error:
            events.STREAM_CUT.log(
                request=run.id,
                endpoint=run.room.endpoint.id if run.room else "",
                events=run.events,
                copied=run.home is not None,
                error=str(error),
            )
            return False
        finally:
            await answer.close()
        if splitter.rest:
            return False
        await self._finish(run, answer)
        return True

    async def _paced(self, run: Run, answer: Answer) -> AsyncGenerator[bytes]:
        """Yields the chunks of a stream.

        Raises:
            EndpointError: The stream was cut, or there was no data for
                `STALL_MS` while the run could resume at another engine.
        """
        parts = answer.chunks()
        async with aclosing(parts):
            while True:
                can_leave = run.events > 0 and (
                    run.home is not None or self._carrier.has_backup(run)
                )
                limit = STALL_MS / 1000 if can_leave else None
                data = b""
                with anyio.move_on_after(limit) as scope:
                    try:
                        data = await anext(parts)
                    except StopAsyncIteration:
                        return
                if scope.cancelled_caught:
                    raise EndpointError("silent", sent=True)
                yield data

    async def _pass_on(
        self, run: Run, answer: Answer, splitter: Splitter, data: bytes
    ) -> None:
        """Sends the complete events of a chunk to the caller, each once.

        Raises:
            EndpointError: An event is out of order.
        """
        fresh: list[bytes] = []
        missing = ""
        for event in splitter.feed(data):
            found = self._context.platform.event_id(event.raw)
            place = self._place_of(run, found)
            if place is EventPlace.REPEATED:
                continue
            if place is EventPlace.AFTER_GAP:
                missing = f"event {found} after {run.last_event_id}"
                break
            run.last_event_id = found or run.last_event_id
            run.events += 1
            fresh.append(event.raw)
        # The events before a gap must be sent: the run resumes after the last
        # event that is recorded as sent to the caller.
        if fresh:
            self._note_events(run)
            if not run.head_sent:
                await self._send_head(run, answer)
            await run.responder.write(b"".join(fresh))
        if missing:
            raise EndpointError(missing, sent=True)

    def _place_of(self, run: Run, event_id: str | None) -> EventPlace:
        """Compares the id of an event with the id of the last one relayed."""
        last = run.last_event_id or run.job.call.last_event_id
        if event_id is None or last is None:
            return EventPlace.NEXT
        if not (event_id.isdigit() and last.isdigit()):
            return EventPlace.NEXT
        step = int(event_id) - int(last)
        if step > 1:
            return EventPlace.AFTER_GAP
        return EventPlace.NEXT if step == 1 else EventPlace.REPEATED

    def _note_events(self, run: Run) -> None:
        now = self._context.clock.now()
        job = run.job
        if run.events and run.last_event_ms and job.route.gap_ms:
            pause = now - run.last_event_ms
            if pause > job.route.gap_ms:
                statistics.GAPS.labels(job.route.name).inc()
                events.LATE_GAP.log(
                    request=run.id,
                    endpoint=run.room.endpoint.id if run.room else "",
                    pause_ms=pause,
                    events=run.events,
                )
        if not run.last_event_ms:
            statistics.LATENCY.labels(job.route.name).observe(
                (now - job.received_ms) / 1000
            )
        run.last_event_ms = now
        if run.room is not None and run.room.prefill:
            run.room.end_prefill()
            self._rooms.note_change()
            self._carrier.copy_if_leaving(run)

    async def _send_head(self, run: Run, answer: Answer) -> None:
        run.head_sent = True
        await run.responder.start_stream(
            answer.head.status, answer.head.headers
        )

    async def _finish(self, run: Run, answer: Answer) -> None:
        if not run.head_sent:
            await self._send_head(run, answer)
        await run.responder.end_stream()
        now = self._context.clock.now()
        events.ANSWERED.log(
            request=run.id,
            route=run.job.route.name,
            status=_OK,
            took_ms=now - run.job.received_ms,
            sends=run.job.sends,
            events=run.events,
        )
        statistics.REQUESTS.labels(run.job.route.name, "complete").inc()
