"""Tracks an entry's open generations and ends those that callers abandon.

A caller that lost its connection may resume its stream with `Last-Event-ID`,
here or at another entry. The entry therefore keeps the generation and its
permit for a grace period. After the grace period it cancels the generation at
the engine and releases the permit.
"""

import anyio
import attrs

from rhubarbwinch.admission.permits import Permit, PermitClient
from rhubarbwinch.endpoints.endpointclient import EndpointClient
from rhubarbwinch.endpoints.metering import Meter
from rhubarbwinch.endpoints.relay import StreamPosition
from rhubarbwinch.links.messages import (
    PriorityChange,
    StreamEnd,
    StreamTake,
    StreamTaken,
)
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock

EXPIRY_CHECK_MS = 100
MAX_QUEUED_CANCELS = 10_000


@attrs.define(eq=False)
class OpenStream:
    """A generation that this entry holds.

    Attributes:
        permit: The permit for the generation's engine.
        position: How far the generation has been relayed to the caller.
        ends_at_ms: When the generation is ended after its caller disconnected,
            on the entry's clock; None while the caller is connected.
    """

    permit: Permit
    position: StreamPosition
    ends_at_ms: int | None = None


@attrs.frozen
class _Cancel:
    """A generation to be cancelled at its engine."""

    address: str
    generation: str


class OpenStreams:
    """Keeps open generations, hands them to other entries and ends them.

    Args:
        permits: Releases permits.
        endpoints: Calls engines.
        clock: The source of time.
        grace_ms: How long a generation is kept after its caller disconnected.
        meter: Counts the tokens relayed to callers.
    """

    def __init__(
        self,
        permits: PermitClient,
        endpoints: EndpointClient,
        clock: Clock,
        grace_ms: int,
        meter: Meter | None = None,
    ) -> None:
        self._meter = meter
        self._permits = permits
        self._endpoints = endpoints
        self._clock = clock
        self._grace_ms = grace_ms
        self._streams: dict[str, OpenStream] = {}
        self._cancel_sender, self._cancel_receiver = (
            anyio.create_memory_object_stream[_Cancel](MAX_QUEUED_CANCELS)
        )

    @property
    def disconnected_count(self) -> int:
        """The number of generations whose caller has disconnected."""
        return sum(s.ends_at_ms is not None for s in self._streams.values())

    def add(self, permit: Permit, position: StreamPosition) -> OpenStream:
        """Adds a generation that this entry holds from now on."""
        stream = OpenStream(permit, position)
        self._streams[position.generation] = stream
        if self._meter is not None:
            request = permit.request
            self._meter.start(position, request.account, request.service)
        return stream

    def acquire_permit(self, generation: str) -> Permit | None:
        """Removes a generation, for the entry or task that resumes it.

        Returns:
            The generation's permit; None if this entry does not hold it.
        """
        stream = self._streams.pop(generation, None)
        if stream is not None and self._meter is not None:
            self._meter.end(generation, finished=False)
        return stream.permit if stream else None

    async def hand_over(self, message: StreamTake) -> StreamTaken:
        """Hands a generation over to the entry where its caller resumes it."""
        permit = self.acquire_permit(message.generation)
        if permit is None:
            return StreamTaken()
        # The pool's owner learns of the new holder from the new holder's
        # reports.
        self._permits.remove_permit(permit)
        return StreamTaken(permit.request, permit.grant.endpoint)

    async def change_priority(self, change: PriorityChange) -> None:
        """Forwards a broker's priority for a stream to the stream's engine."""
        for stream in self._streams.values():
            grant = stream.permit.grant
            if grant.request_id == change.request_id:
                await self._endpoints.set_priority(
                    grant.address, stream.position.generation, change.priority
                )
                return

    async def close(self, stream: OpenStream, end: StreamEnd) -> None:
        """Removes a stream that ended here and releases its permit.

        A generation that did not finish is cancelled at its engine. A
        generation that another connection has resumed meanwhile is not
        touched.
        """
        position = stream.position
        if self._streams.get(position.generation) is not stream:
            return
        del self._streams[position.generation]
        if self._meter is not None:
            is_finished = end is StreamEnd.FINISHED
            self._meter.end(position.generation, is_finished)
        await self._permits.release_permit(
            stream.permit, end, position.next_index
        )
        if end is not StreamEnd.FINISHED:
            self._queue_cancel(stream)

    async def keep_for_resume(self, stream: OpenStream) -> None:
        """Keeps the generation of a disconnected caller for the grace period.

        A generation of which the caller received no event is ended at once.
        """
        position = stream.position
        if position.relayed == 0:
            # Without an event's id the caller can't resume the stream.
            await self.close(stream, StreamEnd.CANCELLED)
            return
        stream.ends_at_ms = self._clock.now() + self._grace_ms

    async def run(self) -> None:
        """Ends the generations past their grace period, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._end_expired)
            async for cancellation in self._cancel_receiver:
                tasks.start_soon(
                    self._endpoints.cancel,
                    cancellation.address,
                    cancellation.generation,
                )

    async def _end_expired(self) -> None:
        while True:
            await self._clock.sleep(EXPIRY_CHECK_MS)
            now = self._clock.now()
            expired = [
                s
                for s in self._streams.values()
                if s.ends_at_ms is not None and s.ends_at_ms <= now
            ]
            for stream in expired:
                events.STREAM_ABANDONED.log(
                    generation=stream.position.generation
                )
                await self.close(stream, StreamEnd.CANCELLED)

    def _queue_cancel(self, stream: OpenStream) -> None:
        """Queues the cancellation, so as not to wait for a hanging engine."""
        address = stream.permit.grant.address
        try:
            self._cancel_sender.send_nowait(
                _Cancel(address, stream.position.generation)
            )
        except anyio.WouldBlock:
            # The queue is full; the engine then runs the generation to its end.
            return
