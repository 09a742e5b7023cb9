"""Relays the events of an engine to the caller, each once and in order."""

import enum
from collections.abc import AsyncGenerator
from contextlib import aclosing

import anyio

from rhubarbwinch.gateway import gatewaymetrics
from rhubarbwinch.gateway.context import Context
from rhubarbwinch.gateway.crashes import HARMLESS_EVENTS
from rhubarbwinch.gateway.decisions.enginespeeds import SAMPLE_MS
from rhubarbwinch.gateway.messages import StreamOrigin
from rhubarbwinch.gateway.migration import Migrator
from rhubarbwinch.gateway.runplacement import RunPlacer
from rhubarbwinch.gateway.runs import Run
from rhubarbwinch.gateway.upstream import UpstreamResponse
from rhubarbwinch.http.sse import EventSplitter
from rhubarbwinch.shared import events
from rhubarbwinch.shared.exceptions import EndpointError

# If a run can resume at another engine, its stream is abandoned after this time
# without an event; bytes that complete no event do not extend it. A sound
# engine may be silent for a second or so, and callers wait for several times
# their objective.
STALL_TIMEOUT_MS = 2_500
# A write that takes longer was held up by the caller.
SLOW_WRITE_MS = 20
_OK = 200


class EventOrder(enum.Enum):
    """The position of an event relative to the last one relayed."""

    NEXT = enum.auto()
    DUPLICATE = enum.auto()
    AFTER_GAP = enum.auto()


class EventRelay:
    """Relays event streams from engines to callers.

    Args:
        context: The objects shared by all requests.
        placer: Notified when a prefill is complete.
        migrator: Migrates runs whose engines leave.
    """

    def __init__(
        self, context: Context, placer: RunPlacer, migrator: Migrator
    ) -> None:
        self._context = context
        self._placer = placer
        self._migrator = migrator

    async def relay(self, run: Run, response: UpstreamResponse) -> bool:
        """Relays the events of one engine; returns whether the stream ended."""
        splitter = EventSplitter()
        run.sample_ms = 0
        try:
            async with aclosing(
                self._chunks_or_stall(run, response)
            ) as chunk_stream:
                async for chunk in chunk_stream:
                    await self._relay_chunk(run, response, splitter, chunk)
                    response.hold(len(splitter.rest))
            if splitter.rest:
                raise EndpointError("the stream ended in an event", sent=True)
            if not run.events and not response.is_framed:
                # The engine may have crashed before its first event.
                raise EndpointError("the stream has no event", sent=True)
        except EndpointError as error:
            events.STREAM_CUT.log(
                request=run.id,
                endpoint=run.reservation.endpoint.id if run.reservation else "",
                events=run.events,
                copied=run.target is not None,
                error=str(error),
            )
            return False
        finally:
            response.hold(0)
            await response.close()
        await self._finish(run, response)
        return True

    async def _chunks_or_stall(
        self, run: Run, response: UpstreamResponse
    ) -> AsyncGenerator[bytes]:
        """Yields the chunks of a stream.

        Raises:
            EndpointError: The stream was cut, or there was no event for
                `STALL_TIMEOUT_MS` while the run could resume at another engine.
        """
        clock = self._context.clock
        known_events, since_ms = run.events, clock.now()
        chunk_stream = response.chunks()
        async with aclosing(chunk_stream):
            while True:
                can_resume = run.events > 0 and (
                    run.target is not None or self._migrator.has_standby(run)
                )
                if run.events != known_events:
                    # The time in which the caller did not read does not count.
                    known_events, since_ms = run.events, clock.now()
                left_ms = since_ms + STALL_TIMEOUT_MS - clock.now()
                timeout_s = max(0, left_ms) / 1000 if can_resume else None
                chunk = b""
                with anyio.move_on_after(timeout_s) as scope:
                    try:
                        chunk = await anext(chunk_stream)
                    except StopAsyncIteration:
                        return
                if scope.cancelled_caught:
                    raise EndpointError("silent", sent=True)
                yield chunk

    async def _relay_chunk(
        self,
        run: Run,
        response: UpstreamResponse,
        splitter: EventSplitter,
        chunk: bytes,
    ) -> None:
        """Sends the complete events of a chunk to the caller, each once.

        Raises:
            EndpointError: An event is out of order.
        """
        new_events: list[bytes] = []
        gap = ""
        for event in splitter.feed(chunk):
            new_id = self._context.platform.event_id(event.raw)
            order = self._order_of(run, new_id)
            if order is EventOrder.DUPLICATE:
                continue
            if order is EventOrder.AFTER_GAP:
                gap = f"event {new_id} after {run.last_event_id}"
                break
            run.last_event_id = new_id or run.last_event_id
            run.events += 1
            new_events.append(event.raw)
        # The events before a gap must be sent: the run resumes after the last
        # event that is recorded as sent to the caller.
        if new_events:
            self._record_events(run)
            if not run.head_sent:
                self._record_origin(run)
                await self._send_head(run, response)
            data = b"".join(new_events)
            # While the caller does not read, only its write buffer holds them.
            new_events.clear()
            write = run.responder.write(data)
            del data
            await write
            if self._context.clock.now() - run.last_event_ms > SLOW_WRITE_MS:
                # The caller was slow, not the engine.
                run.sample_ms = 0
        if gap:
            raise EndpointError(gap, sent=True)

    def _order_of(self, run: Run, event_id: str | None) -> EventOrder:
        """Compares the id of an event with the id of the last one relayed."""
        last = run.last_event_id or run.job.call.last_event_id
        if event_id is None or last is None:
            return EventOrder.NEXT
        if not (event_id.isdigit() and last.isdigit()):
            return EventOrder.NEXT
        step = int(event_id) - int(last)
        if step > 1:
            return EventOrder.AFTER_GAP
        return EventOrder.NEXT if step == 1 else EventOrder.DUPLICATE

    def _record_events(self, run: Run) -> None:
        now = self._context.clock.now()
        job = run.job
        if run.events >= HARMLESS_EVENTS and not run.is_harmless:
            run.is_harmless = True
            self._context.crashes.record_harmless(run.id, job.part_keys)
        if run.events and run.last_event_ms and job.route.max_event_gap_ms:
            pause = now - run.last_event_ms
            if pause > job.route.max_event_gap_ms:
                gatewaymetrics.LATE_GAPS.labels(job.route.name).inc()
                events.LATE_GAP.log(
                    request=run.id,
                    endpoint=run.reservation.endpoint.id
                    if run.reservation
                    else "",
                    pause_ms=pause,
                    events=run.events,
                )
        if not run.last_event_ms:
            gatewaymetrics.LATENCY.labels(job.route.name).observe(
                (now - job.received_ms) / 1000
            )
        run.last_event_ms = now
        self._sample_speed(run, now)
        if run.reservation is not None and run.reservation.prefill:
            run.reservation.end_prefill()
            self._placer.handle_capacity_change()
            self._migrator.migrate_if_leaving(run)

    def _sample_speed(self, run: Run, now: int) -> None:
        """Measures the speed of the engine that executes a run."""
        if not run.sample_ms:
            run.sample_ms, run.sample_events = now, run.events
            return
        elapsed_ms = now - run.sample_ms
        if elapsed_ms < SAMPLE_MS or run.reservation is None:
            return
        self._context.loads.speeds.record(
            run.reservation.endpoint.id,
            elapsed_ms / max(1, run.events - run.sample_events),
            now,
        )
        run.sample_ms, run.sample_events = now, run.events

    def _record_origin(self, run: Run) -> None:
        """Keeps the version of a stream whose first event is relayed."""
        if run.version is None and run.reservation is not None:
            run.version = run.reservation.endpoint.version
        self._context.takeups.record(
            StreamOrigin(
                run.job.call.resumed_id or run.id,
                run.job.service,
                run.version or "",
            )
        )

    async def _send_head(self, run: Run, response: UpstreamResponse) -> None:
        run.head_sent = True
        await run.responder.start_stream(
            response.head.status, response.head.headers
        )

    async def _finish(self, run: Run, response: UpstreamResponse) -> None:
        if not run.head_sent:
            await self._send_head(run, response)
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
        gatewaymetrics.REQUESTS.labels(run.job.route.name, "complete").inc()
