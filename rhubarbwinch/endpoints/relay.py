"""Passes on the tokens of one generation, each once and in order."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager

import attrs

from rhubarbwinch.endpoints.retries import Backoff
from rhubarbwinch.http.sse import DONE, StreamEvent
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import (
    EndpointError,
    ForeignGenerationError,
    GenerationLostError,
)

# Openings without a new event before a stream is given up.
MAX_RESUMES = 8


# A stream from an endpoint: the events of each read, in the order received.
EventStream = AsyncIterator[list[StreamEvent]]
# Opens the stream from an index.
Opener = Callable[[int], AbstractAsyncContextManager[EventStream]]


@attrs.define
class Position:
    """How far a stream has been passed on.

    Attributes:
        generation: The only generation that is passed on.
        next_index: The index that comes next.
        passed: Events passed on here, not at another entry.
        finished: Whether the last token has been seen.
        resumes: How often the stream was opened again.
        duplicates: Events that were dropped.
    """

    generation: str
    next_index: int = 0
    passed: int = 0
    finished: bool = False
    resumes: int = 0
    duplicates: int = 0

    @property
    def open_index(self) -> int:
        """The index to read from.

        A stream that another entry began is read one event early: that event
        tells whether the caller already has the last token.
        """
        return self.next_index if self.passed else max(0, self.next_index - 1)

    @property
    def next_head(self) -> bytes:
        """The first line of the event that comes next."""
        return f"id: {self.generation}:{self.next_index}\n".encode()


class Relay:
    """Reads one generation to its end.

    Args:
        position: Kept up to date while events are passed on.
        start: Opens the stream at first.
        resume: Opens it again.
        clock: The source of time for the waits between openings.
        backoff: How long these waits are.
    """

    def __init__(
        self,
        position: Position,
        start: Opener,
        resume: Opener,
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
    def position(self) -> Position:
        """How far the stream has been passed on."""
        return self._position

    async def events(self) -> EventStream:
        """Yields the events from `position.next_index` on, joined by read.

        A duplicate is dropped. After a gap, a silence or a broken link the
        stream is opened again at the index that is missing.

        Raises:
            EndpointError: The stream can't be had to its end.
        """
        position = self._position
        while True:
            try:
                async for found in self._read():
                    yield found
                    if found[-1].is_done:
                        return
                raise EndpointError("the stream ended early", sent=True)
            except EndpointError as error:
                # A later opening that fails unsent does not undo an earlier.
                self._was_sent = self._was_sent or self._is_open or error.sent
                error.sent = self._was_sent
                if position.finished and self._is_hopeless(error):
                    # Every token is there; only the mark of the end is not.
                    yield [StreamEvent(DONE)]
                    return
                if self._is_hopeless(error):
                    raise
                await self._prepare_resume(error)

    async def _read(self) -> EventStream:
        """Yields what is new in one opening of the stream."""
        position = self._position
        self._is_open = False
        async with self._opener(position.open_index) as stream:
            self._is_open = True
            async for arrived in stream:
                fresh = []
                try:
                    for event in arrived:
                        if _is_next(position, event):
                            fresh.append(event)
                except EndpointError:
                    # What came before the fault is still good.
                    if fresh:
                        yield fresh
                    raise
                if fresh:
                    self._failures = 0
                    yield fresh
                if fresh and fresh[-1].is_done:
                    return

    def _is_hopeless(self, error: EndpointError) -> bool:
        """Tells whether opening the stream once more can't help."""
        if isinstance(error, (ForeignGenerationError, GenerationLostError)):
            return True
        if self._failures >= MAX_RESUMES:
            return True
        # Before the first token another engine is the better choice, unless
        # the engine has just answered and only takes its time.
        return self._position.next_index == 0 and not self._is_open

    async def _prepare_resume(self, error: EndpointError) -> None:
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
            await self._clock.sleep(self._backoff.wait_ms(self._failures - 1))


def _is_next(position: Position, event: StreamEvent) -> bool:
    """Tells whether an event comes next; False for one to drop.

    Raises:
        ForeignGenerationError: It is of another generation.
        GenerationLostError: The engine reports a failure.
        EndpointError: Events before it are missing.
    """
    if event.raw.startswith(position.next_head):
        position.next_index += 1
        position.passed += 1
        if event.is_last_token:
            position.finished = True
        return True
    if event.is_done:
        if not position.finished:
            raise EndpointError("the end came before the last token", sent=True)
        return True
    return _is_other(position, event)


def _is_other(position: Position, event: StreamEvent) -> bool:
    """Handles an event that is not the one that comes next, as `_is_next`."""
    if event.is_comment:
        return False
    if event.is_error:
        raise GenerationLostError(f"the engine failed: {event.data!r}")
    found = event.id
    if found is None or found.generation != position.generation:
        raise ForeignGenerationError(str(found))
    if found.index > position.next_index:
        raise EndpointError(f"a gap before {found.index}", sent=True)
    if found.index == position.next_index:
        # The same id in another spelling, such as without the space.
        position.next_index += 1
        position.passed += 1
        position.finished = position.finished or event.is_last_token
        return True
    position.duplicates += 1
    position.finished = position.finished or event.is_last_token
    return False
