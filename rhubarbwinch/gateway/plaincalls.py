"""Serves plain calls with one whole response, retried where it is safe."""

import anyio
import attrs

from rhubarbwinch.gateway import failureresponses, gatewaymetrics, placement
from rhubarbwinch.gateway.context import Context
from rhubarbwinch.gateway.decisions.restartedendpoints import may_attempt
from rhubarbwinch.gateway.edge import EdgeResponder
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.job import Job
from rhubarbwinch.gateway.platforminterface import AttemptOptions, ResponseHead
from rhubarbwinch.gateway.suspicion import AttemptOutcome
from rhubarbwinch.gateway.upstream import CONNECT_TIMEOUT_S
from rhubarbwinch.shared import events
from rhubarbwinch.shared.exceptions import EndpointError
from rhubarbwinch.shared.verdict import Failure, Reason, Verdict, not_run

# An endpoint that stops at the deadline responds shortly after the deadline.
RESPONSE_GRACE_MS = 60
# The first attempt of a repeatable call gets this share of the time, so that
# after a hanging attempt enough time is left for a second one.
FIRST_ATTEMPT_SHARE = 0.5
# Attempts per call, including refused ones. Attempts at endpoints that are gone
# from their address are not counted.
MAX_ATTEMPTS = 3
# Connections that fail before the rest of a short time is left to others.
MAX_UNREACHABLE = 2
# With less time left, no response can arrive before the deadline.
MIN_ATTEMPT_MS = 10
RETRY_AFTER_MS = 200
# Share of the remaining time that a call may wait for a rate limit.
MAX_PERMIT_WAIT_SHARE = 0.5
_SERVER_ERROR = 500
# Statuses that callers take as a promise that the request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@attrs.frozen
class WholeResponse:
    """An endpoint's response with its body."""

    head: ResponseHead
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the status is not a server error."""
        return self.head.status < _SERVER_ERROR


class PlainCalls:
    """Serves the calls of plain services.

    Args:
        context: The objects shared by all requests.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    async def serve(self, job: Job, responder: EdgeResponder) -> Failure | None:
        """Serves a call; returns the failure if there is no response."""
        result = await self._run(job)
        if isinstance(result, Failure):
            return result
        await relay_response(self._context, job, responder, result)
        return None

    async def _run(self, job: Job) -> WholeResponse | Failure:
        """Sends a call until a response or a verdict is final."""
        context = self._context
        failure = not_run(
            Reason.NO_ENDPOINT, "no endpoint takes work", RETRY_AFTER_MS
        )
        may_have_run = 0
        error_response: WholeResponse | None = None
        endpoints = len(context.fleet.accepting_for_service(job.service))
        while self._has_time(job) and may_attempt(
            job.sends, job.gone, MAX_ATTEMPTS, endpoints
        ):
            endpoint = await self._next_endpoint(job, not may_have_run)
            if isinstance(endpoint, Failure):
                if not job.sends or (
                    failure.verdict is Verdict.NOT_RUN
                    and endpoint.reason is Reason.RATE_LIMITED
                ):
                    failure = endpoint
                break
            if job.arrivals and not context.acquire_retry(job.service):
                events.RETRY_REFUSED.log(
                    request=job.call.request_id, service=job.service
                )
                break
            refusal = context.refuse_suspect(job)
            if refusal is not None:
                # Endpoints crashed under the request while it waited.
                failure = failure if job.sends else refusal
                break
            context.record_send(job)
            job.tried.add(endpoint.id)
            left_ms = job.deadline_ms - context.clock.now()
            result = await self._send(job, endpoint, left_ms, may_have_run)
            if isinstance(result, WholeResponse):
                if result.is_success or not self._may_repeat(job, may_have_run):
                    return result
                error_response = result
                may_have_run += 1
                continue
            failure = result
            job.not_run += failure.verdict is Verdict.NOT_RUN
            if failure.verdict is not Verdict.NOT_RUN:
                may_have_run += 1
                if not self._may_repeat(job, may_have_run - 1):
                    break
        if error_response is not None:
            return error_response
        if may_have_run and failure.verdict is Verdict.NOT_RUN:
            return Failure(Verdict.MAY_HAVE_RUN, failure.reason, failure.detail)
        return failure

    def _has_time(self, job: Job) -> bool:
        """Returns whether there is time for another attempt."""
        left_ms = job.deadline_ms - self._context.clock.now()
        if job.unreachable >= MAX_UNREACHABLE:
            # One more connection that hangs would take all the time that
            # another gateway needs.
            return left_ms >= 1_000 * CONNECT_TIMEOUT_S
        return left_ms >= MIN_ATTEMPT_MS

    async def _next_endpoint(
        self, job: Job, may_wait: bool
    ) -> Endpoint | Failure:
        """Returns the endpoint of the next attempt, as a rate limit allows.

        Args:
            job: The call.
            may_wait: Whether to wait for the rate limit of an endpoint if no
                other one is left.
        """
        context = self._context
        while True:
            chosen = placement.choose_plain_endpoint(
                context.candidates(job.needs, job.tried),
                context.data_center,
                context.rng,
            )
            if chosen is not None:
                endpoint = chosen.endpoint
                context.permits.acquire_now(endpoint.id)
                return endpoint
            if context.waits_for_slot(job.needs, job.tried):
                left_ms = job.deadline_ms - context.clock.now()
                if not may_wait or not await context.slots.wait(
                    job.service, int(left_ms * MAX_PERMIT_WAIT_SHARE)
                ):
                    return not_run(
                        Reason.QUEUE_FULL,
                        "no slot of the endpoints was free in time",
                        RETRY_AFTER_MS,
                    )
                continue
            earliest = context.earliest_permit(job.needs, job.tried)
            if earliest is None:
                return self._why_no_endpoint(job)
            endpoint, delay_ms = earliest
            left_ms = job.deadline_ms - context.clock.now()
            limit_ms = int(left_ms * MAX_PERMIT_WAIT_SHARE) if may_wait else 0
            if not await context.permits.acquire(
                job.call.request_id, endpoint, limit_ms
            ):
                return self._refuse_until(delay_ms)
            if context.is_accepting(endpoint) and context.has_room(endpoint):
                return endpoint

    def _why_no_endpoint(self, job: Job) -> Failure:
        """Returns why no endpoint is left that the call has not tried."""
        unserved = self._context.find_unserved(job.needs)
        if unserved is not None:
            return unserved
        delay_ms = self._context.permit_delay_ms(job.needs)
        if delay_ms:
            return self._refuse_until(delay_ms)
        return not_run(
            Reason.NO_ENDPOINT, "no endpoint takes work", RETRY_AFTER_MS
        )

    def _refuse_until(self, delay_ms: int) -> Failure:
        return not_run(
            Reason.RATE_LIMITED,
            "the endpoints accept no more requests now",
            # Refused callers do not all come back at the same time.
            int(delay_ms * (1 + self._context.rng.random())),
        )

    def _may_repeat(self, job: Job, runs_before: int) -> bool:
        """Returns whether a call may be executed once more."""
        return (
            job.route.is_repeatable and runs_before + 1 < job.route.max_attempts
        )

    async def _send(
        self, job: Job, endpoint: Endpoint, left_ms: int, runs_before: int
    ) -> WholeResponse | Failure:
        """Sends a call to one endpoint."""
        context = self._context
        limit_ms = left_ms + RESPONSE_GRACE_MS
        if self._may_repeat(job, runs_before) and job.counted_sends == 1:
            limit_ms = int(left_ms * FIRST_ATTEMPT_SHARE)
        started_ms = context.clock.now()
        context.loads.add_unannounced(endpoint.id, 1)
        try:
            with anyio.move_on_after(limit_ms / 1000):
                return await self._exchange(job, endpoint, left_ms)
        except EndpointError as error:
            failure = self._record_failure(job, endpoint, started_ms, error)
            if error.sent:
                context.check_crash(job, endpoint.id, endpoint.address, 0)
            return failure
        finally:
            context.loads.add_unannounced(endpoint.id, -1)
            context.slots.handle_call_ended(endpoint.service)
        context.record_outcome(
            job, job.service, endpoint.id, AttemptOutcome.BROKEN
        )
        self._log_attempt(
            job, endpoint, started_ms, f"no answer in {limit_ms} ms"
        )
        return Failure(
            Verdict.MAY_HAVE_RUN, Reason.DEADLINE, "the endpoint gave no answer"
        )

    async def _exchange(
        self, job: Job, endpoint: Endpoint, left_ms: int
    ) -> WholeResponse | Failure:
        """Sends a call and reads the whole response.

        Raises:
            EndpointError: There was no complete response, or it does not come
                from the endpoint itself, or its status would be taken as "not
                run".
        """
        context = self._context
        started_ms = context.clock.now()
        options = AttemptOptions(endpoint.id, job.account, left_ms)
        response = await context.send(
            job, endpoint, options, job.route.is_repeatable
        )
        try:
            body = await response.read()
        finally:
            await response.close()
        head = response.head
        if head.is_endpoint_gone:
            self._log_attempt(
                job, endpoint, started_ms, f"gone by {head.status}"
            )
            return context.gone_failure(RETRY_AFTER_MS)
        if head.is_refusal:
            context.record_outcome(
                job, job.service, endpoint.id, AttemptOutcome.REFUSED
            )
            self._log_attempt(
                job, endpoint, started_ms, f"refused by {head.status}"
            )
            return not_run(
                Reason.QUEUE_FULL, "the endpoint refused", RETRY_AFTER_MS
            )
        if not head.is_signed and head.status < _SERVER_ERROR:
            raise EndpointError("an answer without signature", sent=True)
        if head.status in NOT_RUN_STATUSES or not head.is_signed:
            # The endpoint does not state that the call did not run, but callers
            # would take the status to mean so.
            raise EndpointError(f"status {head.status}", sent=True)
        whole = WholeResponse(head, body)
        outcome = (
            AttemptOutcome.GOOD if whole.is_success else AttemptOutcome.ERROR
        )
        context.crashes.record_harmless(job.call.request_id, job.suspect_keys)
        context.record_outcome(job, job.service, endpoint.id, outcome)
        self._log_attempt(job, endpoint, started_ms, str(head.status))
        return whole

    def _record_failure(
        self,
        job: Job,
        endpoint: Endpoint,
        started_ms: int,
        error: EndpointError,
    ) -> Failure:
        outcome = (
            AttemptOutcome.BROKEN if error.sent else AttemptOutcome.UNREACHABLE
        )
        self._context.record_outcome(job, job.service, endpoint.id, outcome)
        self._log_attempt(job, endpoint, started_ms, str(error))
        if error.sent:
            return Failure(
                Verdict.MAY_HAVE_RUN, Reason.ENDPOINT_FAILED, str(error)
            )
        return not_run(Reason.NO_ENDPOINT, str(error), RETRY_AFTER_MS)

    def _log_attempt(
        self, job: Job, endpoint: Endpoint, started_ms: int, outcome: str
    ) -> None:
        now = self._context.clock.now()
        events.SENT.log(
            request=job.call.request_id,
            endpoint=endpoint.id,
            send=job.sends,
            took_ms=now - started_ms,
            left_ms=job.deadline_ms - now,
            rate_limit=self._context.permits.rate(endpoint.id),
            outcome=outcome,
        )


async def relay_response(
    context: Context,
    job: Job,
    responder: EdgeResponder,
    response: WholeResponse,
) -> None:
    """Relays an endpoint's whole response unchanged."""
    now = context.clock.now()
    events.ANSWERED.log(
        request=job.call.request_id,
        route=job.route.name,
        status=response.head.status,
        took_ms=now - job.received_ms,
        sends=job.sends,
    )
    gatewaymetrics.REQUESTS.labels(
        job.route.name, str(response.head.status)
    ).inc()
    gatewaymetrics.LATENCY.labels(job.route.name).observe(
        (now - job.received_ms) / 1000
    )
    await responder.send(
        response.head.status, response.head.headers, response.body
    )


async def send_job_failure(
    context: Context, job: Job, responder: EdgeResponder, failure: Failure
) -> None:
    """Logs a call that could not be served and responds with the failure."""
    now = context.clock.now()
    events.NOT_SERVED.log(
        request=job.call.request_id,
        route=job.route.name,
        service=job.service,
        took_ms=now - job.received_ms,
        sends=job.sends,
        tried=sorted(job.tried),
        revision=context.table.version if context.table else 0,
    )
    await failureresponses.send_failure(
        context.platform, responder, job.call.request_id, failure
    )
