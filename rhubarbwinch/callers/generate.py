"""Serves generation requests: permits, streaming, retries and resumes."""

import random
from collections.abc import Awaitable
from functools import partial

import anyio
from result import Err

from rhubarbwinch.admission.permits import Permit, PermitClient
from rhubarbwinch.callers.calls import GenerationCall, send_json_response
from rhubarbwinch.callers.runguard import NoGuard, RunGuard
from rhubarbwinch.callers.streams import OpenStream, OpenStreams
from rhubarbwinch.endpoints.endpointclient import EndpointClient
from rhubarbwinch.endpoints.relay import Relay, StreamPosition
from rhubarbwinch.endpoints.retries import Backoff, RetryBudget
from rhubarbwinch.http.httpapi import Refused, Responder
from rhubarbwinch.http.sse import join
from rhubarbwinch.links.messages import PermitGrant, PermitRequest, StreamEnd
from rhubarbwinch.records.acceptedconfig import ConfigSnapshot
from rhubarbwinch.shared import events, identifiers, metrics
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import EndpointError
from rhubarbwinch.shared.verdict import Failure, Reason, Verdict, not_run

MAX_ATTEMPTS = 3
SSE_HEADERS = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-cache"),
]


class GenerationRunner:
    """Runs generation requests and streams their output to callers.

    Args:
        permits: Requests permits from brokers.
        endpoints: Calls engines.
        streams: Tracks the open generations.
        ids: Generates request ids.
        clock: The source of time.
        counters: Receives the metrics.
        budget: Limits the retries of each account.
        rng: The source of the backoff's jitter.
        entry: This member's name.
        data_center: This entry's data centre, whose pools are asked first.
    """

    def __init__(
        self,
        permits: PermitClient,
        endpoints: EndpointClient,
        streams: OpenStreams,
        ids: identifiers.IdGenerator,
        clock: Clock,
        counters: metrics.Metrics,
        budget: RetryBudget,
        rng: random.Random,
        entry: str,
        data_center: str,
    ) -> None:
        self._permits = permits
        self._endpoints = endpoints
        self._streams = streams
        self._ids = ids
        self._clock = clock
        self._metrics = counters
        self._budget = budget
        self._backoff = Backoff(rng)
        self._entry = entry
        self._data_center = data_center

    async def serve(
        self,
        call: GenerationCall,
        snapshot: ConfigSnapshot,
        responder: Responder,
        guard: RunGuard | None = None,
    ) -> None:
        """Serves a call, with retries at other engines.

        Args:
            call: The validated request.
            snapshot: The active configuration.
            responder: Sends the response.
            guard: Guards each run; None for no guard.

        Raises:
            Refused: The call failed, with its verdict.
        """
        guard = guard or NoGuard()
        avoid: list[str] = []
        earlier_error: EndpointError | None = None
        self._budget.record_request(call.account)
        while True:
            try:
                permit = await self._acquire_permit(call, snapshot, avoid)
            except Refused as refused:
                if earlier_error is None or not earlier_error.sent:
                    raise
                # An earlier attempt may have run the request that the broker
                # refuses now.
                raise Refused(_to_failure(earlier_error)) from refused
            try:
                async with guard.run(permit):
                    await self._run(call, permit, responder)
                return
            except EndpointError as error:
                avoid.append(permit.grant.endpoint)
                error.inherit_sent(earlier_error)
                earlier_error = error
                if not self._claim_retry(call, len(avoid), responder):
                    raise Refused(_to_failure(error)) from error
            events.REQUEST_RETRIED.log(
                endpoint=avoid[-1], error=str(earlier_error)
            )
            await self._clock.sleep(self._backoff.delay_ms(len(avoid)))

    def _claim_retry(
        self, call: GenerationCall, attempts: int, responder: Responder
    ) -> bool:
        if responder.has_started or attempts >= MAX_ATTEMPTS:
            return False
        if self._budget.acquire_retry(call.account):
            return True
        events.RETRY_BUDGET_SPENT.log(account=call.account)
        return False

    async def resume(
        self,
        account: str,
        after: identifiers.EventId,
        snapshot: ConfigSnapshot,
        responder: Responder,
        permit: Permit | None,
    ) -> None:
        """Resumes a stream after the last event that the caller received.

        Args:
            account: The caller's account.
            after: The last event that the caller received.
            snapshot: The active configuration.
            responder: Sends the response.
            permit: The stream's permit if its former holder handed it over.

        Raises:
            Refused: The stream belongs to another account or no longer exists.
        """
        generation = after.generation
        self.check_owner(account, generation)
        position = StreamPosition(generation, after.index + 1)
        permit = permit or self._reconstruct_permit(
            account, generation, snapshot
        )
        self._permits.add_permit(permit)
        address = permit.grant.address
        reopen = partial(self._endpoints.resume, address, generation)
        relay = Relay(position, reopen, reopen, self._clock, self._backoff)
        stream = self._streams.add(permit, position)
        events.STREAM_TAKEN.log(generation=generation, index=after.index + 1)
        try:
            await self._finish_stream(
                stream, self._send_events(relay, responder, permit)
            )
        except EndpointError as error:
            # The caller has received tokens, so the generation certainly ran.
            error.sent = True
            raise Refused(_to_failure(error)) from error

    def check_owner(self, account: str, generation: str) -> None:
        """Checks that the account started the generation.

        Raises:
            Refused: Another account started it.
        """
        if not self._ids.is_owned_by(generation, account):
            raise Refused(not_run(Reason.FORBIDDEN, "not your stream"))

    def _reconstruct_permit(
        self, account: str, generation: str, snapshot: ConfigSnapshot
    ) -> Permit:
        """Returns a permit for a stream whose former holder did not reply.

        The pool's owner learns of the new holder from this entry's reports.

        Raises:
            Refused: The active configuration no longer has the engine.
        """
        name = identifiers.endpoint_of(generation)
        request_id = generation.partition("~")[0]
        for pool, spec in snapshot.pools.items():
            for endpoint in spec.endpoints:
                if endpoint.name == name:
                    request = PermitRequest(
                        request_id, self._entry, pool, account, service=""
                    )
                    address = endpoint.address
                    return Permit(
                        request, PermitGrant(request_id, name, address)
                    )
        detail = "the stream's engine is gone"
        raise Refused(
            Failure(Verdict.MAY_HAVE_RUN, Reason.STREAM_BROKEN, detail)
        )

    async def _acquire_permit(
        self, call: GenerationCall, snapshot: ConfigSnapshot, avoid: list[str]
    ) -> Permit:
        request = PermitRequest(
            request_id="",
            entry=self._entry,
            pool="",
            account=call.account,
            service=call.service_name,
            interactive=call.service.interactive,
            prompt_tokens=call.prompt_tokens,
            max_tokens=call.max_tokens,
            prefix=call.prefix,
            fingerprint=call.fingerprint,
            repeatable=call.claim_key is None,
            wait_ms=call.service.wait_ms,
            avoid=avoid,
        )
        reply = await self._permits.acquire_from_any(
            request,
            snapshot.pools_local_first(
                call.service.target, self._data_center, call.fingerprint
            ),
            partial(self._ids.request_id, call.account),
        )
        if isinstance(reply, Err):
            raise Refused(reply.err_value)
        return reply.ok_value

    async def _run(
        self, call: GenerationCall, permit: Permit, responder: Responder
    ) -> None:
        grant = permit.grant
        generation = identifiers.generation_id(grant.request_id, grant.endpoint)
        position = StreamPosition(generation)
        relay = Relay(
            position,
            lambda _: self._endpoints.start(
                grant.address,
                call.path,
                call.body,
                generation,
                grant.priority,
            ),
            partial(self._endpoints.resume, grant.address, generation),
            self._clock,
            self._backoff,
        )
        stream = self._streams.add(permit, position)
        if call.stream:
            response = self._send_events(relay, responder, permit)
        else:
            response = send_json_response(relay, call, generation, responder)
        await self._finish_stream(stream, response, is_resumable=call.stream)

    async def _finish_stream(
        self,
        stream: OpenStream,
        response: Awaitable[None],
        is_resumable: bool = True,
    ) -> None:
        """Awaits a response, then closes its stream or keeps it for a resume.

        Raises:
            EndpointError: The stream broke and can't be resumed.
        """
        end = StreamEnd.CANCELLED
        try:
            await response
            end = StreamEnd.FINISHED
        except EndpointError as error:
            end = StreamEnd.ENDPOINT_LOST if error.sent else StreamEnd.FAILED
            endpoint = stream.permit.grant.endpoint
            events.ENDPOINT_LOST.log(endpoint=endpoint, error=str(error))
            raise
        finally:
            self._metrics.count(metrics.RESUMES, stream.position.resumes)
            with anyio.CancelScope(shield=True):
                if end is StreamEnd.CANCELLED and is_resumable:
                    await self._streams.keep_for_resume(stream)
                else:
                    await self._streams.close(stream, end)

    async def _send_events(
        self, relay: Relay, responder: Responder, permit: Permit
    ) -> None:
        started_ms = self._clock.now()
        position = relay.position
        async for batch in relay.events():
            if not responder.has_started:
                await responder.start(200, SSE_HEADERS)
                elapsed = self._clock.now() - started_ms
                self._metrics.timing(metrics.FIRST_TOKEN, elapsed)
            permit.tokens = position.next_index
            await responder.write(join(batch))
        await responder.write(b"", more=False)


def _to_failure(error: EndpointError) -> Failure:
    if error.sent:
        return Failure(Verdict.MAY_HAVE_RUN, Reason.STREAM_BROKEN, str(error))
    return not_run(Reason.ENDPOINT_FAILED, str(error), 1000)
