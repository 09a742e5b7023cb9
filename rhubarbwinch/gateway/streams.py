"""Serves generations: places, relays and fails over their runs."""

import anyio

from rhubarbwinch.gateway import gatewaymetrics
from rhubarbwinch.gateway.context import Context
from rhubarbwinch.gateway.decisions.restartedendpoints import may_attempt
from rhubarbwinch.gateway.edge import EdgeResponder
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.eventrelay import EventRelay
from rhubarbwinch.gateway.failover import Failover
from rhubarbwinch.gateway.generationsender import GenerationSender
from rhubarbwinch.gateway.job import Job
from rhubarbwinch.gateway.migration import Migrator
from rhubarbwinch.gateway.runplacement import RunPlacer
from rhubarbwinch.gateway.runs import Run
from rhubarbwinch.gateway.suspicion import AttemptOutcome
from rhubarbwinch.gateway.upstream import UpstreamResponse
from rhubarbwinch.shared import events
from rhubarbwinch.shared.verdict import Failure, Reason, Verdict

# Maximum attempts to start a generation that engines refuse as not run.
# Attempts at engines that are gone from their address are not counted.
MAX_REFUSED_ATTEMPTS = 4


class StreamCalls:
    """Serves generations.

    Args:
        context: The objects shared by all requests.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._placer = RunPlacer(context)
        self._migrator = Migrator(context)
        self._sender = GenerationSender(context)
        self._relay = EventRelay(context, self._placer, self._migrator)
        self._failover = Failover(
            context, self._placer, self._migrator, self._sender
        )
        self._runs: set[Run] = set()

    async def serve(self, job: Job, responder: EdgeResponder) -> Failure | None:
        """Serves one generation.

        Returns:
            None if the caller got a response, complete or broken off, else why
            there is none.
        """
        failed: list[Exception] = []
        failure: Failure | None = None
        async with anyio.create_task_group() as tasks:
            run = Run(job, responder, tasks)
            self._runs.add(run)
            try:
                failure = await self._serve(run)
            except Exception as error:
                # The task group would wrap the exception in a group.
                failed.append(error)
            finally:
                self._runs.discard(run)
                run.release()
                self._placer.end_run(run)
                tasks.cancel_scope.cancel()
        if failed:
            raise failed[0]
        return failure

    def handle_capacity_change(self) -> None:
        """Wakes the queued requests and publishes the loads to the peers."""
        self._placer.handle_capacity_change()

    def handle_leaving_engine(self, endpoint: Endpoint) -> None:
        """Migrates the runs of an engine that leaves."""
        for run in list(self._runs):
            self._migrator.handle_leaving_engine(run, endpoint)

    def handle_evacuation(self) -> None:
        """Releases the hot standbys in evacuated data centres."""
        for run in list(self._runs):
            self._migrator.handle_evacuation(run)

    async def _serve(self, run: Run) -> Failure | None:
        failure = await self._find_origin(run)
        if failure is None:
            failure = await self._start(run)
        if failure is not None and run.head_sent:
            # The caller detects the failure by the incomplete stream.
            events.STREAM_BROKEN.log(
                request=run.id,
                events=run.events,
                detail=failure.detail,
                took_ms=self._context.clock.now() - run.job.received_ms,
            )
            gatewaymetrics.REQUESTS.labels(run.job.route.name, "broken").inc()
            return None
        return failure

    async def _find_origin(self, run: Run) -> Failure | None:
        """Finds the version of a stream that its caller takes up again."""
        job, call = run.job, run.job.call
        if call.last_event_id is None:
            return None
        events.STREAM_TAKEN_UP.log(
            request=run.id,
            stream=call.resumed_id,
            last_event=call.last_event_id,
        )
        origin = await self._context.takeups.resolve(
            run.id, call.resumed_id, job.route
        )
        if isinstance(origin, Failure):
            return origin
        job.service, run.version = origin.service, origin.version
        return None

    async def _start(self, run: Run) -> Failure | None:
        """Places a generation until an engine accepts it or none can.

        Returns:
            None if the caller got a complete response, else the failure.
        """
        job = run.job
        failure: Failure | None = None
        attempts = 0
        endpoints = len(self._context.fleet.accepting_for_service(job.service))
        while may_attempt(attempts, job.gone, MAX_REFUSED_ATTEMPTS, endpoints):
            attempts += 1
            if job.arrivals and not self._sender.acquire_retry(run):
                return failure
            refusal = await self._placer.place(run)
            if refusal is not None:
                return failure or refusal
            assert run.reservation is not None
            result = await self._sender.open(
                run, run.reservation.endpoint, None
            )
            if isinstance(result, UpstreamResponse):
                return await self._relay_all(run, result)
            run.release()
            if result is None:
                return None
            job.not_run += result.verdict is Verdict.NOT_RUN
            failure = _combine(failure, result)
            job.tried.add(run.reservation.endpoint.id)
            if not _may_try_again(job, result):
                return failure
        return failure

    async def _relay_all(
        self, run: Run, response: UpstreamResponse
    ) -> Failure | None:
        """Relays a generation to its end, with failovers if needed."""
        while True:
            assert run.reservation is not None
            source = run.reservation.endpoint
            with anyio.move_on_after(self._left_ms(run) / 1000):
                if await self._relay.relay(run, response):
                    self._context.record_outcome(
                        run.job, run.job.service, source.id, AttemptOutcome.GOOD
                    )
                    self._context.crashes.record_harmless(
                        run.id, run.job.suspect_keys
                    )
                    return None
            if self._left_ms(run) <= 0:
                return Failure(
                    Verdict.MAY_HAVE_RUN, Reason.DEADLINE, "out of time"
                )
            self._context.check_crash(
                run.job, source.id, source.address, run.events
            )
            next_response = await self._failover.resume(run, source)
            if next_response is None:
                return Failure(
                    Verdict.MAY_HAVE_RUN,
                    Reason.STREAM_BROKEN,
                    f"the stream broke at {source.id}",
                )
            response = next_response

    def _left_ms(self, run: Run) -> int:
        return run.job.deadline_ms - self._context.clock.now()


def _combine(before: Failure | None, failure: Failure) -> Failure:
    """Returns a failure with the verdict of all attempts so far."""
    if before is None or before.verdict is Verdict.NOT_RUN:
        return failure
    return Failure(before.verdict, failure.reason, failure.detail)


def _may_try_again(job: Job, failure: Failure) -> bool:
    """Returns whether a generation may be sent once more after a failure."""
    if failure.reason is Reason.QUARANTINED:
        return False
    return failure.verdict is Verdict.NOT_RUN or (
        job.route.is_repeatable and job.counted_sends < job.route.max_attempts
    )
