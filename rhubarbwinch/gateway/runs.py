"""Generations that are being relayed, and the room that they hold."""

import anyio
import anyio.abc
import attrs

from rhubarbwinch.gateway.context import Job
from rhubarbwinch.gateway.edge import EdgeResponder
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.loads import Room
from rhubarbwinch.gateway.wire import MemoryCopy


@attrs.define(eq=False)
class NewHome:
    """Where a run goes on after it was copied.

    Attributes:
        room: The room at the new engine.
        copy: The copy of its memory.
        source: The engine that it left.
    """

    room: Room
    copy: MemoryCopy
    source: Endpoint


@attrs.define(eq=False)
class Run:
    """One generation.

    Attributes:
        job: The request.
        responder: Sends the events to the caller.
        tasks: Tasks that end with the run.
        room: The room at the engine that runs it; None before it is placed.
        backup: The room at the engine that follows it, or None.
        last_event_id: The last event that the caller has, or None.
        events: Events that the caller has.
        head_sent: Whether the head of the answer was sent.
        last_event_ms: When the last event came.
        home: Where it goes on when its engine ends; None without a copy.
        copying: Ends the task that keeps the copy; None without one.
        has_copy: Set when the first copy is there, or none is to be had.
    """

    job: Job
    responder: EdgeResponder
    tasks: anyio.abc.TaskGroup
    room: Room | None = None
    backup: Room | None = None
    last_event_id: str | None = None
    events: int = 0
    head_sent: bool = False
    last_event_ms: int = 0
    home: NewHome | None = None
    copying: anyio.CancelScope | None = None
    has_copy: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def id(self) -> str:
        """The caller's id of the request."""
        return self.job.call.request_id

    @property
    def expected_tokens(self) -> int:
        """The memory that the whole run is expected to need, in tokens."""
        call = self.job.call
        likely = call.likely_output_tokens or call.max_output_tokens
        if call.max_output_tokens:
            likely = min(likely, call.max_output_tokens)
        return call.prompt_tokens + likely

    def release(self) -> None:
        """Gives all room back."""
        for room in (self.room, self.backup):
            if room is not None:
                room.release()
        self.backup = None
