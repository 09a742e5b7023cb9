"""The generations that an entry looks after, and those left by their callers.

A caller that loses its connection may come back with `Last-Event-ID`, here or
at another entry. So its generation is kept for a while, and its permit with
it; then the engine is told to end it, and the room is free.
"""

import anyio
import attrs

from rhubarbwinch.admission.permits import Permit, PermitClient
from rhubarbwinch.endpoints.endpoints import EndpointClient
from rhubarbwinch.endpoints.metering import Meter
from rhubarbwinch.endpoints.relay import Position
from rhubarbwinch.links.messages import (
    PriorityChange,
    StreamEnd,
    StreamTake,
    StreamTaken,
)
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock

CHECK_MS = 100
MAX_CANCELS = 10_000


@attrs.define(eq=False)
class OpenStream:
    """A generation under this entry's care.

    Attributes:
        permit: Its place at the engine.
        position: How far it has been passed on.
        until: When a generation that its caller left is ended, on the
            entry's clock in ms; None while the caller is there.
    """

    permit: Permit
    position: Position
    until: int | None = None


@attrs.frozen
class _Cancel:
    """A generation that an engine is to end."""

    address: str
    generation: str


class OpenStreams:
    """Keeps, hands over and ends generations.

    Args:
        permits: Where places are given back.
        endpoints: Calls engines.
        clock: The source of time.
        grace_ms: How long a generation is kept for a caller that left it.
        meter: Counts the tokens passed on.
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
        self._new_cancels, self._cancels = anyio.create_memory_object_stream[
            _Cancel
        ](MAX_CANCELS)

    @property
    def waiting(self) -> int:
        """The number of generations whose caller left."""
        return sum(s.until is not None for s in self._streams.values())

    def add(self, permit: Permit, position: Position) -> OpenStream:
        """Takes a generation under care."""
        stream = OpenStream(permit, position)
        self._streams[position.generation] = stream
        if self._meter is not None:
            request = permit.request
            self._meter.start(position, request.account, request.service)
        return stream

    def take(self, generation: str) -> Permit | None:
        """Gives a generation out of care, for whoever resumes it."""
        stream = self._streams.pop(generation, None)
        if stream is not None and self._meter is not None:
            self._meter.end(generation, finished=False)
        return stream.permit if stream else None

    async def take_for_peer(self, message: StreamTake) -> StreamTaken:
        """Hands a generation to the entry that its caller went to."""
        permit = self.take(message.generation)
        if permit is None:
            return StreamTaken()
        # The pool's owner learns of the new holder from that one's reports.
        self._permits.drop(permit)
        return StreamTaken(permit.request, permit.grant.endpoint)

    async def change_priority(self, change: PriorityChange) -> None:
        """Passes a broker's priority for a stream on to its engine."""
        for stream in self._streams.values():
            grant = stream.permit.grant
            if grant.request_id == change.request_id:
                await self._endpoints.set_priority(
                    grant.address, stream.position.generation, change.priority
                )
                return

    async def close(self, stream: OpenStream, end: StreamEnd) -> None:
        """Gives the permit of a stream back that ended here.

        A generation that did not finish is ended at its engine. One that
        another connection has taken in the meantime is left alone.
        """
        position = stream.position
        if self._streams.get(position.generation) is not stream:
            return
        del self._streams[position.generation]
        if self._meter is not None:
            is_finished = end is StreamEnd.FINISHED
            self._meter.end(position.generation, is_finished)
        await self._permits.give_back(stream.permit, end, position.next_index)
        if end is not StreamEnd.FINISHED:
            self._cancel(stream)

    async def leave(self, stream: OpenStream) -> None:
        """Keeps a generation for a while whose caller went away."""
        position = stream.position
        if position.passed == 0:
            # Without an event's id the caller can't ask for it.
            await self.close(stream, StreamEnd.CANCELLED)
            return
        stream.until = self._clock.now() + self._grace_ms

    async def run(self) -> None:
        """Ends generations that nobody reads any more, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._expire)
            async for call in self._cancels:
                tasks.start_soon(
                    self._endpoints.cancel, call.address, call.generation
                )

    async def _expire(self) -> None:
        while True:
            await self._clock.sleep(CHECK_MS)
            now = self._clock.now()
            due = [
                s
                for s in self._streams.values()
                if s.until is not None and s.until <= now
            ]
            for stream in due:
                events.STREAM_ABANDONED.log(
                    generation=stream.position.generation
                )
                await self.close(stream, StreamEnd.CANCELLED)

    def _cancel(self, stream: OpenStream) -> None:
        """Has the engine told, without a wait for an engine that hangs."""
        address = stream.permit.grant.address
        try:
            self._new_cancels.send_nowait(
                _Cancel(address, stream.position.generation)
            )
        except anyio.WouldBlock:
            # The engine finishes what it was not told to end.
            return
