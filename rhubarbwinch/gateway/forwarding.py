"""Passes requests on to gateways that can send them to endpoints.

It is meant for gateways that callers reach, but that can't send to the
endpoints themselves: they are cut off, or have no share of what the endpoints
accept. A request is passed on once only, and its response is relayed as it
comes.
"""

import random
from collections.abc import Collection

import anyio

from rhubarbwinch.gateway import gatewaymetrics
from rhubarbwinch.gateway.context import Context
from rhubarbwinch.gateway.edge import EdgeResponder
from rhubarbwinch.gateway.job import Job
from rhubarbwinch.gateway.messages import Heartbeat
from rhubarbwinch.gateway.plaincalls import (
    RESPONSE_GRACE_MS,
    WholeResponse,
    relay_response,
)
from rhubarbwinch.gateway.upstream import UpstreamResponse
from rhubarbwinch.shared import events
from rhubarbwinch.shared.exceptions import EndpointError
from rhubarbwinch.shared.verdict import Failure, Reason, Verdict, not_run

# Gateways that one request is passed to, if the first ones do not run it.
MAX_TARGETS = 2
# With less time left, no other gateway can respond before the deadline.
MIN_LEFT_MS = 20
RETRY_AFTER_MS = 200
# Requests of other gateways that a gateway serves at the same time.
MAX_OPEN_FORWARDED = 256
_SERVICE_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_CLIENT_ERRORS = range(400, 500)


def choose_target(
    targets: list[Heartbeat], tried: Collection[str], rng: random.Random
) -> Heartbeat | None:
    """Returns the gateway to pass a request to, or None.

    The choice is random, so that the load of many gateways that are cut off is
    spread over all others.
    """
    untried = [target for target in targets if target.name not in tried]
    return rng.choice(untried) if untried else None


class Forwarder:
    """Passes requests on to other gateways.

    Args:
        context: The objects shared by all requests.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    async def forward(
        self,
        job: Job,
        responder: EdgeResponder,
        why: str,
        among: Collection[str] | None = None,
    ) -> Failure | None:
        """Passes a request on that has not run.

        Args:
            job: The request.
            responder: Sends the response.
            why: Why this gateway does not send it to an endpoint itself.
            among: The names of the gateways that can; None if all may.

        Returns:
            None if the caller got a response, complete or broken off, else why
            the request failed.
        """
        context = self._context
        failure = not_run(
            Reason.NO_ENDPOINT,
            f"{why}, and no other gateway serves",
            RETRY_AFTER_MS,
        )
        tried: list[str] = []
        answered: list[str] = []
        while len(tried) < MAX_TARGETS:
            targets = [
                heartbeat
                for heartbeat in context.peers.forward_targets(job.service)
                if (among is None or heartbeat.name in among)
                and context.regions.is_home(
                    heartbeat.data_center, job.home_regions
                )
            ]
            # One that accepted no connection may have been busy.
            target = choose_target(
                targets, tried, context.rng
            ) or choose_target(targets, answered, context.rng)
            left_ms = job.deadline_ms - context.clock.now()
            if target is None or left_ms < MIN_LEFT_MS:
                break
            tried.append(target.name)
            job.is_passed_on = True
            try:
                result = await self._call(job, target, left_ms, responder)
                answered.append(target.name)
            except EndpointError as error:
                result = not_run(Reason.NO_ENDPOINT, str(error), RETRY_AFTER_MS)
            outcome = "answered" if result is None else result.verdict
            gatewaymetrics.FORWARDED.labels(outcome).inc()
            events.FORWARDED.log(
                request=job.call.request_id,
                gateway=target.name,
                why=why,
                outcome=outcome,
                detail=result.detail if result is not None else "",
                left_ms=job.deadline_ms - context.clock.now(),
            )
            if result is None:
                return None
            job.is_passed_on = result.verdict is not Verdict.NOT_RUN
            failure = result
            if failure.verdict is not Verdict.NOT_RUN:
                break
        return failure

    async def _call(
        self,
        job: Job,
        target: Heartbeat,
        left_ms: int,
        responder: EdgeResponder,
    ) -> Failure | None:
        """Passes a request to one gateway and relays its response.

        Raises:
            EndpointError: The gateway accepted no connection.
        """
        try:
            with anyio.move_on_after((left_ms + RESPONSE_GRACE_MS) / 1000):
                response = await self._context.upstream.forward(
                    target.forward,
                    job.request,
                    left_ms,
                    job.route.is_repeatable,
                )
                try:
                    return await self._relay(job, response, responder)
                finally:
                    await response.close()
        except EndpointError as error:
            if responder.is_started:
                self._log_broken(job, str(error))
                return None
            if not error.sent:
                raise
            return Failure(
                Verdict.MAY_HAVE_RUN, Reason.ENDPOINT_FAILED, str(error)
            )
        if responder.is_started:
            self._log_broken(job, "out of time")
            return None
        return Failure(
            Verdict.MAY_HAVE_RUN,
            Reason.DEADLINE,
            f"no answer of {target.name} by the deadline",
        )

    async def _relay(
        self, job: Job, response: UpstreamResponse, responder: EdgeResponder
    ) -> Failure | None:
        head = response.head
        if not head.is_signed:
            body = await response.read()
            return _failure_of(
                head.status,
                body.decode("utf-8", "replace"),
                self._context.platform.retry_after_ms(head.headers),
            )
        if response.has_length:
            whole = WholeResponse(head, await response.read())
            await relay_response(self._context, job, responder, whole)
            return None
        await responder.start_stream(head.status, head.headers)
        async for chunk in response.chunks():
            await responder.write(chunk)
        await responder.end_stream()
        events.ANSWERED.log(
            request=job.call.request_id,
            route=job.route.name,
            status=head.status,
            took_ms=self._context.clock.now() - job.received_ms,
            sends=job.sends,
        )
        gatewaymetrics.REQUESTS.labels(job.route.name, "complete").inc()
        return None

    def _log_broken(self, job: Job, detail: str) -> None:
        """Logs a stream that ends early; its caller sees the same."""
        events.STREAM_BROKEN.log(
            request=job.call.request_id,
            events=None,
            detail=detail,
            took_ms=self._context.clock.now() - job.received_ms,
        )
        gatewaymetrics.REQUESTS.labels(job.route.name, "broken").inc()


def _failure_of(
    status: int, detail: str, retry_after_ms: int | None
) -> Failure:
    """Returns the failure that another gateway has responded with."""
    if status == _SERVICE_UNAVAILABLE:
        return not_run(Reason.NO_ENDPOINT, detail, retry_after_ms)
    if status in _CLIENT_ERRORS:
        # The other gateway has another configuration than this one.
        return not_run(
            Reason.NO_ENDPOINT,
            f"another gateway responded {status}: {detail}",
            RETRY_AFTER_MS,
        )
    reason = (
        Reason.DEADLINE
        if status == _GATEWAY_TIMEOUT
        else Reason.ENDPOINT_FAILED
    )
    return Failure(Verdict.MAY_HAVE_RUN, reason, detail)
