"""Sends generations to engines and classifies their response heads."""

import anyio

from rhubarbwinch.gateway.context import Context
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.plaincalls import (
    NOT_RUN_STATUSES,
    WholeResponse,
    relay_response,
)
from rhubarbwinch.gateway.platforminterface import (
    AttemptOptions,
    KvCacheLocation,
)
from rhubarbwinch.gateway.runplacement import MIN_ATTEMPT_MS
from rhubarbwinch.gateway.runs import Run
from rhubarbwinch.gateway.suspicion import AttemptOutcome
from rhubarbwinch.gateway.upstream import UpstreamResponse
from rhubarbwinch.shared import events
from rhubarbwinch.shared.exceptions import EndpointError
from rhubarbwinch.shared.verdict import Failure, Reason, Verdict, not_run

RETRY_AFTER_MS = 300
_OK = 200


class GenerationSender:
    """Sends generations to engines.

    Args:
        context: The objects shared by all requests.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    async def open(
        self, run: Run, endpoint: Endpoint, location: KvCacheLocation | None
    ) -> UpstreamResponse | Failure | None:
        """Sends a generation to an engine.

        Returns:
            The response whose events are still to be read, or a failure. None
            if the engine's response was final and was relayed to the caller.
        """
        context, job = self._context, run.job
        now = context.clock.now()
        left_ms = job.deadline_ms - now
        if left_ms < MIN_ATTEMPT_MS:
            return Failure(
                Verdict.MAY_HAVE_RUN, Reason.DEADLINE, "no time left"
            )
        refusal = context.refuse_suspect(job)
        if refusal is not None:
            # Endpoints crashed under the request while it waited.
            return refusal
        context.record_send(job)
        last_id = run.last_event_id or job.call.last_event_id
        options = AttemptOptions(
            endpoint.id,
            job.account,
            left_ms,
            last_event_id=last_id,
            resume_from=location,
            standby_address=run.standby.endpoint.address
            if run.standby
            else None,
        )
        try:
            with anyio.move_on_after(left_ms / 1000):
                response = await context.send(job, endpoint, options, False)
                return await self._classify(run, endpoint, response, now)
        except EndpointError as error:
            outcome = (
                AttemptOutcome.BROKEN
                if error.sent
                else AttemptOutcome.UNREACHABLE
            )
            context.record_outcome(job, job.service, endpoint.id, outcome)
            self._log_attempt(run, endpoint, now, str(error))
            if error.sent:
                context.check_crash(
                    job, endpoint.id, endpoint.address, run.events
                )
                return Failure(
                    Verdict.MAY_HAVE_RUN, Reason.ENDPOINT_FAILED, str(error)
                )
            return not_run(Reason.NO_ENDPOINT, str(error), RETRY_AFTER_MS)
        self._log_attempt(run, endpoint, now, "no answer by the deadline")
        return Failure(
            Verdict.MAY_HAVE_RUN, Reason.DEADLINE, "the engine gave no answer"
        )

    def acquire_retry(self, run: Run) -> bool:
        """Returns whether the retry budget of the service allows an attempt."""
        allowed = self._context.acquire_retry(run.job.service)
        if not allowed:
            events.RETRY_REFUSED.log(request=run.id, service=run.job.service)
        return allowed

    async def _classify(
        self,
        run: Run,
        endpoint: Endpoint,
        response: UpstreamResponse,
        started_ms: int,
    ) -> UpstreamResponse | Failure | None:
        """Classifies a response by its head.

        Raises:
            EndpointError: The response does not come from the engine itself, or
                has a status that callers would take as "not run".
        """
        context, job, head = self._context, run.job, response.head
        self._log_attempt(run, endpoint, started_ms, str(head.status))
        if head.status == _OK and head.is_signed:
            return response
        try:
            body = await response.read()
        finally:
            await response.close()
        if head.is_endpoint_gone:
            return context.gone_failure(RETRY_AFTER_MS)
        if head.is_refusal:
            context.record_outcome(
                job, job.service, endpoint.id, AttemptOutcome.REFUSED
            )
            return not_run(
                Reason.QUEUE_FULL, "the engine refused", RETRY_AFTER_MS
            )
        context.record_outcome(
            job, job.service, endpoint.id, AttemptOutcome.ERROR
        )
        if not head.is_signed or head.status in NOT_RUN_STATUSES:
            raise EndpointError(f"status {head.status}", sent=True)
        if run.head_sent or job.route.is_repeatable:
            return Failure(
                Verdict.MAY_HAVE_RUN,
                Reason.ENDPOINT_FAILED,
                f"status {head.status}",
            )
        await relay_response(
            context, job, run.responder, WholeResponse(head, body)
        )
        return None

    def _log_attempt(
        self, run: Run, endpoint: Endpoint, started_ms: int, outcome: str
    ) -> None:
        now = self._context.clock.now()
        events.SENT.log(
            request=run.id,
            endpoint=endpoint.id,
            version=endpoint.version,
            send=run.job.sends,
            took_ms=now - started_ms,
            left_ms=run.job.deadline_ms - now,
            rate_limit=self._context.permits.rate(endpoint.id),
            outcome=outcome,
        )
