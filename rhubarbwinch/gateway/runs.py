"""The state of runs that are being relayed, with their reservations."""

import anyio
import anyio.abc
import attrs

from rhubarbwinch.gateway.decisions.eligibility import Needs
from rhubarbwinch.gateway.edge import EdgeResponder
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.job import Job
from rhubarbwinch.gateway.loads import Reservation
from rhubarbwinch.gateway.platforminterface import KvCacheLocation


@attrs.define(eq=False)
class MigrationTarget:
    """The engine at which a run can resume, and the KV cache to resume from.

    Attributes:
        reservation: The reservation at the target engine.
        location: The location of the run's KV cache.
        source: The engine that the run leaves.
    """

    reservation: Reservation
    location: KvCacheLocation
    source: Endpoint


@attrs.define(eq=False)
class Run:
    """One generation that is being relayed to its caller.

    Attributes:
        job: The request.
        responder: Sends the events to the caller.
        tasks: Tasks that are cancelled when the run ends.
        reservation: The reservation at the engine that executes the run; None
            before the run is placed.
        standby: The reservation at the hot standby, or None.
        version: The software version whose events the caller has, the only one
            at which the run can go on; None before the first event.
        last_event_id: The id of the last event sent to the caller, or None.
        events: Number of events sent to the caller.
        head_sent: Whether the response head was sent.
        last_event_ms: When the last event was received.
        counted_tokens: The KV cache that is counted for its client account; 0
            before the run is placed.
        is_within_share: Whether its client account uses at most its share.
        sample_ms: When the current sample of its engine's speed began; 0 before
            the first event of the engine.
        sample_events: Number of events when the sample began.
        is_harmless: Whether its engine has begun to answer it without a crash.
        target: Where the run resumes if its engine ends; None without a
            migrated copy.
        migration_scope: Cancels the task that maintains the migrated copy; None
            without such a task.
        first_copy_settled: Set when the first migrated copy is complete, or
            when no copy can be made.
    """

    job: Job
    responder: EdgeResponder
    tasks: anyio.abc.TaskGroup
    reservation: Reservation | None = None
    standby: Reservation | None = None
    version: str | None = None
    last_event_id: str | None = None
    events: int = 0
    head_sent: bool = False
    last_event_ms: int = 0
    counted_tokens: int = 0
    is_within_share: bool = True
    sample_ms: int = 0
    sample_events: int = 0
    is_harmless: bool = False
    target: MigrationTarget | None = None
    migration_scope: anyio.CancelScope | None = None
    first_copy_settled: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def id(self) -> str:
        """The caller's id of the request attempt."""
        return self.job.call.request_id

    @property
    def needs(self) -> Needs:
        """What the run needs of an engine."""
        return attrs.evolve(self.job.needs, version=self.version)

    @property
    def mean_tokens(self) -> int:
        """The KV cache that the run is predicted to occupy on average.

        In tokens: the prompt, and half of the output, which grows from nothing
        to its whole length.
        """
        call = self.job.call
        output_tokens = call.estimated_output_tokens or call.max_output_tokens
        if call.max_output_tokens:
            output_tokens = min(output_tokens, call.max_output_tokens)
        return call.prompt_tokens + output_tokens // 2

    def release(self) -> None:
        """Releases the reservations at the engine and at the standby."""
        for reservation in (self.reservation, self.standby):
            if reservation is not None:
                reservation.release()
        self.standby = None
