"""Relays the tokens of one generation, each exactly once and in order."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager

import attrs

from rhubarbwinch.endpoints.retries import Backoff
from rhubarbwinch.http.sse import DONE_EVENT, StreamEvent
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import (
    EndpointError,
    ForeignGenerationError,
    GenerationLostError,
)

# A stream fails after this many consecutive attempts without a new event.
MAX_FAILED_RESUMES = 8


# A stream from an endpoint; each item holds the events of one read, in order.
EventStream = AsyncIterator[list[StreamEvent]]
# Opens the stream at an index.
StreamOpener = Callable[[int], AbstractAsyncContextManager[EventStream]]


@attrs.define
class StreamPosition:
    """How far a stream has been relayed.

    Attributes:
        generation: The generation's id; events of others are refused.
        next_index: The index of the next event.
        relayed: The number of events relayed by this entry, without those
            relayed by another entry.
        finished: Whether the last token has been received.
        resumes: How often the stream was opened again.
        duplicates: The number of dropped duplicate events.
    """

    generation: str
    next_index: int = 0
    relayed: int = 0
    finished: bool = False
    resumes: int = 0
    duplicates: int = 0

    @property
    def open_index(self) -> int:
        """The index at which the stream is opened.

        A stream that another entry began is opened one event early: that
        event shows whether the caller already has the last token.
        """
        return self.next_index if self.relayed else max(0, self.next_index - 1)

    @property
    def next_first_line(self) -> bytes:
        """The first line of the next event."""
        return f"id: {self.generation}:{self.next_index}\n".encode()


class Relay:
    """Reads one generation to its end.

    Args:
        position: The position of the stream, updated with each event.
        start: Opens the stream for the first time.
        resume: Opens the stream again.
        clock: The source of time for the delays between attempts.
        backoff: The length of these delays.
    """

    def __init__(
        self,
        position: StreamPosition,
        start: StreamOpener,
        resume: StreamOpener,
        clock: Clock,
        backoff: Backoff,
    ) -> None:
        self._position = position
        self._opener = start
        self._resume = resume
        self._clock = clock
        self._backoff = backoff
        self._is_open = False
        self._was_sent = False
        self._failures = 0

    @property
    def position(self) -> StreamPosition:
        """How far the stream has been relayed."""
        return self._position

    async def events(self) -> EventStream:
        """Yields the events from `position.next_index` on, grouped by read.

        Duplicates are dropped. After a gap, a read timeout or a lost
        connection the stream is opened again at the missing index.

        Raises:
            EndpointError: The stream can't be read to its end.
        """
        position = self._position
        while True:
            try:
                async for batch in self._read():
                    yield batch
                    if batch[-1].is_done:
                        return
                raise EndpointError("the stream ended early", sent=True)
            except EndpointError as error:
                # The request counts as sent if any attempt so far sent it,
                # even if the latest attempt failed before sending.
                self._was_sent = self._was_sent or self._is_open or error.sent
                error.sent = self._was_sent
                if position.finished and self._is_permanent(error):
                    # All tokens were received; only the end marker is missing.
                    yield [StreamEvent(DONE_EVENT)]
                    return
                if self._is_permanent(error):
                    raise
                await self._wait_before_resume(error)

    async def _read(self) -> EventStream:
        """Opens the stream once and yields its new events."""
        position = self._position
        self._is_open = False
        async with self._opener(position.open_index) as stream:
            self._is_open = True
            async for received in stream:
                new_events = []
                try:
                    for event in received:
                        if _is_next(position, event):
                            new_events.append(event)
                except EndpointError:
                    # The events before the invalid one are still valid.
                    if new_events:
                        yield new_events
                    raise
                if new_events:
                    self._failures = 0
                    yield new_events
                if new_events and new_events[-1].is_done:
                    return

    def _is_permanent(self, error: EndpointError) -> bool:
        """Returns whether opening the stream again can't succeed."""
        if isinstance(error, (ForeignGenerationError, GenerationLostError)):
            return True
        if self._failures >= MAX_FAILED_RESUMES:
            return True
        # Before the first token it is better to use another engine, unless
        # this engine has accepted the request and is only slow.
        return self._position.next_index == 0 and not self._is_open

    async def _wait_before_resume(self, error: EndpointError) -> None:
        position = self._position
        self._failures += 1
        position.resumes += 1
        self._opener = self._resume
        events.STREAM_RESUMED.log(
            generation=position.generation,
            index=position.next_index,
            error=str(error),
        )
        if self._failures > 1:
            await self._clock.sleep(self._backoff.delay_ms(self._failures - 1))


def _is_next(position: StreamPosition, event: StreamEvent) -> bool:
    """Returns whether an event is the next one; False if it is to be dropped.

    Raises:
        ForeignGenerationError: The event belongs to another generation.
        GenerationLostError: The engine reports a failure.
        EndpointError: Events before this event are missing.
    """
    if event.raw.startswith(position.next_first_line):
        position.next_index += 1
        position.relayed += 1
        if event.is_last_token:
            position.finished = True
        return True
    if event.is_done:
        if not position.finished:
            raise EndpointError("the end came before the last token", sent=True)
        return True
    return _check_other_event(position, event)


def _check_other_event(position: StreamPosition, event: StreamEvent) -> bool:
    """Does the work of `_is_next` for an event with another first line."""
    if event.is_comment:
        return False
    if event.is_error:
        raise GenerationLostError(f"the engine failed: {event.data!r}")
    event_id = event.id
    if event_id is None or event_id.generation != position.generation:
        raise ForeignGenerationError(str(event_id))
    if event_id.index > position.next_index:
        raise EndpointError(f"a gap before {event_id.index}", sent=True)
    if event_id.index == position.next_index:
        # The id is the expected one in another spelling, such as without the
        # space.
        position.next_index += 1
        position.relayed += 1
        position.finished = position.finished or event.is_last_token
        return True
    position.duplicates += 1
    position.finished = position.finished or event.is_last_token
    return False
