"""Routes callers' requests to the part that serves them."""

import anyio
import attrs

from rhubarbwinch.gateway import requestspans
from rhubarbwinch.gateway.context import Context
from rhubarbwinch.gateway.decisions.drains import Drain
from rhubarbwinch.gateway.edge import EdgeRequest, EdgeResponder
from rhubarbwinch.gateway.failureresponses import send_failure
from rhubarbwinch.gateway.forwarding import MAX_OPEN_FORWARDED, Forwarder
from rhubarbwinch.gateway.job import Job, make_job
from rhubarbwinch.gateway.plaincalls import PlainCalls, send_job_failure
from rhubarbwinch.gateway.platforminterface import CallHead
from rhubarbwinch.gateway.routes import (
    Account,
    CallKind,
    Route,
    RoutingTable,
)
from rhubarbwinch.gateway.streams import StreamCalls
from rhubarbwinch.shared import events
from rhubarbwinch.shared.exceptions import BadCallError
from rhubarbwinch.shared.verdict import Failure, Reason, Verdict, not_run

RETRY_AFTER_MS = 300
# While draining, this process may end before a generation would, so callers
# should soon retry it at another gateway.
DRAIN_RETRY_AFTER_MS = 50
# Why a request is passed on to another gateway.
CUT_OFF = "cut off from the endpoints"
OUTDATED = "another gateway has a newer configuration"
UNREACHABLE = "no endpoint accepted a connection"
NO_SHARE = "no share of what the endpoints accept"


@attrs.define(eq=False)
class _OpenRequest:
    """A request that is being served.

    Attributes:
        job: The request.
        responder: Sends its response.
        scope: Cancels the work for it.
    """

    job: Job
    responder: EdgeResponder
    scope: anyio.CancelScope


def _is_taken(drain: Drain, job: Job, now_ms: int) -> bool:
    """Returns whether a request is sent to an endpoint during a shutdown."""
    is_generation = job.route.kind is CallKind.STREAM
    return drain.takes(is_generation, job.deadline_ms, now_ms)


class Router:
    """Authenticates and routes callers' requests.

    Args:
        context: The objects shared by all requests.
        plain: Serves plain calls.
        streams: Serves generations.
    """

    def __init__(
        self, context: Context, plain: PlainCalls, streams: StreamCalls
    ) -> None:
        self._context = context
        self._plain = plain
        self._streams = streams
        self._forwarder = Forwarder(context)
        self._open_forwarded = 0
        self._open: set[_OpenRequest] = set()

    async def handle(
        self, request: EdgeRequest, responder: EdgeResponder
    ) -> None:
        """Handles one request of a caller."""
        await self._handle(request, responder, False)

    async def handle_forwarded(
        self, request: EdgeRequest, responder: EdgeResponder
    ) -> None:
        """Handles one request that another gateway passes on."""
        if self._open_forwarded >= MAX_OPEN_FORWARDED:
            failure = not_run(
                Reason.QUEUE_FULL,
                "too many requests of other gateways",
                RETRY_AFTER_MS,
            )
            await send_failure(self._context.platform, responder, "", failure)
            return
        self._open_forwarded += 1
        try:
            await self._handle(request, responder, True)
        finally:
            self._open_forwarded -= 1

    async def refuse_body(
        self, request: EdgeRequest, responder: EdgeResponder
    ) -> None:
        """Refuses a request for whose body there is no memory."""
        context = self._context
        try:
            request_id = context.platform.decode_call(
                request.method, request.target, request.headers
            ).request_id
        except BadCallError:
            # The refusal is the same without the id of a malformed request.
            request_id = ""
        failure = not_run(
            Reason.QUEUE_FULL, "no memory for the body", RETRY_AFTER_MS
        )
        await send_failure(context.platform, responder, request_id, failure)

    async def _handle(
        self,
        request: EdgeRequest,
        responder: EdgeResponder,
        is_forwarded: bool,
    ) -> None:
        context = self._context
        try:
            call = context.platform.decode_call(
                request.method, request.target, request.headers
            )
        except BadCallError as error:
            failure = not_run(Reason.BAD_REQUEST, str(error))
            await send_failure(context.platform, responder, "", failure)
            return
        with requestspans.request_span(
            context.tracer, call.headers, call.request_id
        ):
            await self._handle_call(request, call, responder, is_forwarded)

    async def _handle_call(
        self,
        request: EdgeRequest,
        call: CallHead,
        responder: EdgeResponder,
        is_forwarded: bool,
    ) -> None:
        context = self._context
        admitted = self._admit(call)
        if isinstance(admitted, Failure):
            await send_failure(
                context.platform, responder, call.request_id, admitted
            )
            return
        route, account, priority = admitted
        job = make_job(
            request, call, route, account, priority, self._choose_service(route)
        )
        responder.set_deadline(job.deadline_ms)
        drain = context.drain
        if drain is not None and not _is_taken(drain, job, context.clock.now()):
            await send_failure(
                context.platform,
                responder,
                call.request_id,
                not_run(
                    Reason.DRAINING, "this gateway leaves", DRAIN_RETRY_AFTER_MS
                ),
            )
            return
        refusal = context.refuse_suspect(job)
        if refusal is not None:
            await send_job_failure(context, job, responder, refusal)
            return
        job.is_forwarded = is_forwarded
        if not is_forwarded:
            # The gateway that has passed it on has counted it.
            context.budget.add_request(job.service, context.clock.now())
        try:
            failure = await self._serve_until_ended(job, responder)
            if failure is not None:
                await send_job_failure(context, job, responder, failure)
        except anyio.get_cancelled_exc_class():
            events.CALLER_LEFT.log(
                request=call.request_id,
                took_ms=context.clock.now() - job.received_ms,
                sends=job.sends,
            )
            raise

    def end_requests(self, drain: Drain, now_ms: int) -> None:
        """Ends open requests that this gateway can't serve before its end.

        Their callers get a response: requests that wait for an endpoint are
        refused as not run, as soon as they would not be taken any more; the
        others fail shortly before the end.

        Args:
            drain: The times of the shutdown.
            now_ms: The current time.
        """
        for request in list(self._open):
            if request.responder.is_started:
                continue
            is_waiting = not request.job.may_have_run
            if now_ms >= drain.last_answer_ms or (
                is_waiting and not _is_taken(drain, request.job, now_ms)
            ):
                request.scope.cancel()

    async def _serve_until_ended(
        self, job: Job, responder: EdgeResponder
    ) -> Failure | None:
        """Serves a request unless it is ended before.

        Returns:
            None if the caller got a response, else why there is none.
        """
        with anyio.CancelScope() as scope:
            request = _OpenRequest(job, responder, scope)
            self._open.add(request)
            try:
                return await self._serve(job, responder)
            finally:
                self._open.discard(request)
        detail = "this gateway leaves"
        if responder.is_started:
            # The caller detects the failure by the incomplete response.
            events.STREAM_BROKEN.log(
                request=job.call.request_id,
                events=None,
                detail=detail,
                took_ms=self._context.clock.now() - job.received_ms,
            )
            return None
        if job.may_have_run:
            return Failure(Verdict.MAY_HAVE_RUN, Reason.DRAINING, detail)
        return not_run(Reason.DRAINING, detail, DRAIN_RETRY_AFTER_MS)

    async def _serve(
        self, job: Job, responder: EdgeResponder
    ) -> Failure | None:
        """Serves a request, or has another gateway serve it.

        Returns:
            None if the caller got a response, else why there is none.
        """
        context = self._context
        if not job.is_forwarded:
            if context.freshness.is_outdated(context.clock.now()):
                newest = context.peers.config_version
                return await self._forwarder.forward(
                    job,
                    responder,
                    OUTDATED,
                    context.peers.names_with_config(newest),
                )
            senders = context.other_senders(job.needs)
            if senders:
                return await self._forwarder.forward(
                    job, responder, NO_SHARE, senders
                )
            if context.isolation.is_isolated(job.service):
                failure = await self._forwarder.forward(job, responder, CUT_OFF)
                if failure is None or failure.verdict is not Verdict.NOT_RUN:
                    return failure
                # Connections that were open before may still serve it.
        if job.route.kind is CallKind.STREAM:
            failure = await self._streams.serve(job, responder)
        else:
            failure = await self._plain.serve(job, responder)
        if failure is not None and self._can_others_serve(job, failure):
            return await self._forwarder.forward(job, responder, UNREACHABLE)
        return failure

    def _can_others_serve(self, job: Job, failure: Failure) -> bool:
        """Returns whether another gateway may serve what this one can't."""
        return (
            not job.is_forwarded
            and failure.verdict is Verdict.NOT_RUN
            and failure.reason is Reason.NO_ENDPOINT
            and bool(job.unreachable)
        )

    def _admit(
        self, call: CallHead
    ) -> tuple[Route, Account | None, int] | Failure:
        """Returns the route, the account and the priority of a request."""
        table = self._context.table
        if table is None:
            return not_run(
                Reason.STORE_UNAVAILABLE, "no configuration yet", RETRY_AFTER_MS
            )
        route = table.find_route(call.host, call.path)
        if route is None:
            return self._refuse_unknown(
                call, table, "route", not_run(Reason.NOT_FOUND, "no such route")
            )
        if not table.requires_key or route.is_public:
            return route, None, route.priority
        account = table.accounts.get(call.api_key or "")
        if account is None:
            failure = not_run(Reason.UNAUTHENTICATED, "unknown API key")
            return self._refuse_unknown(call, table, "key", failure)
        priority = (
            route.priority if account.priority is None else account.priority
        )
        return route, account, priority

    def _choose_service(self, route: Route) -> str:
        """Returns one of a route's services, chosen by weight."""
        if len(route.targets) == 1:
            return route.targets[0].service
        return self._context.rng.choices(
            [target.service for target in route.targets],
            [max(0.0, target.weight) for target in route.targets],
        )[0]

    def _refuse_unknown(
        self, call: CallHead, table: RoutingTable, unknown: str, final: Failure
    ) -> Failure:
        """Returns the refusal of a request whose route or key is unknown.

        Args:
            call: The head of the request.
            table: The active configuration.
            unknown: What the configuration lacks.
            final: The refusal if there is no newer configuration.
        """
        context = self._context
        confirmed_ms = context.store_confirmed_ms()
        is_final = context.freshness.shows_absence(confirmed_ms)
        events.NOT_ALLOWED.log(
            request=call.request_id,
            missing=unknown,
            host=call.host,
            path=call.path,
            version=table.version,
            final=is_final,
            confirmed_ms=confirmed_ms,
        )
        if is_final:
            return final
        return not_run(
            Reason.STORE_UNAVAILABLE,
            f"unknown {unknown}, and there may be a newer configuration",
            RETRY_AFTER_MS,
        )
