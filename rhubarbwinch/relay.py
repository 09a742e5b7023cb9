"""Passes on the tokens of one generation, each once and in order."""

from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs

from rhubarbwinch import events
from rhubarbwinch.exceptions import EndpointError
from rhubarbwinch.sse import StreamEvent

MAX_RESUMES = 8


class ForeignGenerationError(EndpointError):
    """The engine sent an event of another generation."""

    def __init__(self, generation: str) -> None:
        super().__init__(f"an event of {generation} came", sent=True)


# Opens the stream from an index; used as an asynchronous context.
Opener = Callable[[int], Any]


@attrs.define
class Position:
    """How far a stream has been passed on.

    Attributes:
        generation: The only generation that is passed on.
        next_index: The index that comes next.
        resumes: How often the stream was opened again.
        duplicates: Events that were dropped.
    """

    generation: str
    next_index: int = 0
    resumes: int = 0
    duplicates: int = 0


async def relay(
    position: Position, start: Opener, resume: Opener
) -> AsyncIterator[StreamEvent]:
    """Yields events with the indexes from `position.next_index` on.

    A duplicate is dropped. After a gap or a broken link the stream is opened
    again at the index that is missing.

    Args:
        position: Kept up to date while events are yielded.
        start: Opens the stream at first.
        resume: Opens it again.

    Raises:
        EndpointError: The stream can't be had to its end.
    """
    opener = start
    while True:
        try:
            async with opener(position.next_index) as stream:
                async for event in stream:
                    if event.is_done:
                        yield event
                        return
                    if not _is_next(position, event):
                        continue
                    position.next_index += 1
                    yield event
            raise EndpointError("the stream ended early", sent=True)
        except ForeignGenerationError:
            raise
        except EndpointError as error:
            if position.next_index == 0 or position.resumes >= MAX_RESUMES:
                raise
            position.resumes += 1
            opener = resume
            events.STREAM_RESUMED.log(
                generation=position.generation,
                index=position.next_index,
                error=str(error),
            )


def _is_next(position: Position, event: StreamEvent) -> bool:
    """Tells whether an event comes next; False for a duplicate.

    Raises:
        ForeignGenerationError: It is of another generation.
        EndpointError: Events before it are missing.
    """
    if event.id is None or event.id.generation != position.generation:
        raise ForeignGenerationError(str(event.id))
    if event.id.index < position.next_index:
        position.duplicates += 1
        return False
    if event.id.index > position.next_index:
        raise EndpointError(f"a gap before {event.id.index}", sent=True)
    return True
