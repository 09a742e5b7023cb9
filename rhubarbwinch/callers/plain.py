"""Forwards calls of plain services to endpoints that permits select."""

from functools import partial

import anyio
import attrs
import httpx
from result import Err

from rhubarbwinch.admission.permits import Permit, PermitClient
from rhubarbwinch.claims.claimkeys import ClaimKey
from rhubarbwinch.claims.claims import Claim, Claims, make_outcome
from rhubarbwinch.claims.idempotency import claim_key, send_recorded_outcome
from rhubarbwinch.endpoints.endpointclient import EndpointClient
from rhubarbwinch.http.httpapi import Refused, Request, Responder
from rhubarbwinch.links.messages import PermitRequest, StreamEnd
from rhubarbwinch.records.acceptedconfig import ConfigSnapshot
from rhubarbwinch.records.records import ServiceSpec
from rhubarbwinch.shared import events, identifiers
from rhubarbwinch.shared.exceptions import EndpointError
from rhubarbwinch.shared.verdict import Failure, Reason, Verdict, not_run

PREFIX = "/services/"
MAX_ATTEMPTS = 3
_FORWARDED_HEADERS = (
    "content-type",
    "accept",
    "traceparent",
    "idempotency-key",
)


@attrs.frozen
class PlainCall:
    """A validated call of a plain service.

    Attributes:
        account: The client account.
        name: The service's name.
        service: The service's record.
        request: The caller's request.
        path: The path at the endpoint.
        key: The key under which the call runs at most once; None for a
            repeatable call.
    """

    account: str
    name: str
    service: ServiceSpec
    request: Request
    path: str
    key: ClaimKey | None


def parse_call(
    account: str, request: Request, snapshot: ConfigSnapshot
) -> PlainCall:
    """Parses and validates a request for `/services/<service>/<path>`.

    Raises:
        Refused: The request is not valid; it did not run.
    """
    name, _, subpath = request.path.removeprefix(PREFIX).partition("/")
    service = snapshot.services.get(name)
    if service is None or service.kind != "plain":
        raise Refused(not_run(Reason.NOT_FOUND, f"no service {name!r}"))
    if name not in snapshot.accounts[account].services:
        raise Refused(not_run(Reason.FORBIDDEN, f"{name!r} not allowed"))
    path = f"/{subpath}"
    key = claim_key(account, name, service, request, path)
    return PlainCall(account, name, service, request, path, key)


class PlainServiceProxy:
    """Forwards calls of plain services to their endpoints.

    Args:
        permits: Requests permits from brokers.
        endpoints: Calls endpoints.
        claims: Keeps calls that are not repeatable from running twice.
        ids: Generates request ids.
        entry: This member's name.
        data_center: This entry's data centre, whose pools are asked first.
    """

    def __init__(
        self,
        permits: PermitClient,
        endpoints: EndpointClient,
        claims: Claims,
        ids: identifiers.IdGenerator,
        entry: str,
        data_center: str,
    ) -> None:
        self._permits = permits
        self._endpoints = endpoints
        self._claims = claims
        self._ids = ids
        self._entry = entry
        self._data_center = data_center

    async def serve(
        self,
        account: str,
        request: Request,
        snapshot: ConfigSnapshot,
        responder: Responder,
    ) -> None:
        """Serves a request for `/services/<service>/<path>`.

        Raises:
            Refused: The call failed, with its verdict.
        """
        call = parse_call(account, request, snapshot)
        if call.key is not None:
            await self._serve_once(call, call.key, snapshot, responder)
            return
        response = await self._run_repeatable(call, snapshot)
        await _send_response(response, responder)

    async def _run_repeatable(
        self, call: PlainCall, snapshot: ConfigSnapshot
    ) -> httpx.Response:
        """Sends a call and retries it at other endpoints.

        Raises:
            Refused: The call failed. If any attempt sent a byte, the verdict
                is that the call may have run, whatever later attempts did.
        """
        avoid: list[str] = []
        earlier_error: EndpointError | None = None
        while True:
            try:
                permit = await self._acquire_permit(call, snapshot, avoid)
            except Refused as refused:
                if earlier_error is None or not earlier_error.sent:
                    raise
                raise Refused(_to_failure(earlier_error)) from refused
            try:
                return await self._call_endpoint(permit, call)
            except EndpointError as error:
                avoid.append(permit.grant.endpoint)
                error.inherit_sent(earlier_error)
                earlier_error = error
                if len(avoid) >= MAX_ATTEMPTS:
                    raise Refused(_to_failure(error)) from error

    async def _serve_once(
        self,
        call: PlainCall,
        key: ClaimKey,
        snapshot: ConfigSnapshot,
        responder: Responder,
    ) -> None:
        """Replays the recorded outcome of a call, or claims and runs it."""
        while True:
            recorded = await self._claims.find_outcome(key)
            if isinstance(recorded, Err):
                raise Refused(recorded.err_value)
            if recorded.ok_value is not None:
                await send_recorded_outcome(recorded.ok_value, responder)
                return
            # The permit is acquired before the claim: a call without a permit
            # costs the store no write, and a claimed call is sent at once.
            permit = await self._acquire_permit(call, snapshot, [])
            claim = await self._acquire_claim(permit, key)
            if claim is not None:
                break
        response = await self._run_claimed(claim, permit, call, snapshot)
        await _send_response(response, responder)

    async def _acquire_claim(
        self, permit: Permit, key: ClaimKey
    ) -> Claim | None:
        """Claims a key; returns None if another request holds the claim."""
        claim = None
        try:
            claimed = await self._claims.acquire_claim(key)
            if isinstance(claimed, Err):
                if claimed.err_value.reason is Reason.IN_PROGRESS:
                    return None
                raise Refused(claimed.err_value)
            claim = claimed.ok_value
            return claim
        finally:
            if claim is None:
                with anyio.CancelScope(shield=True):
                    await self._permits.release_permit(permit, StreamEnd.UNUSED)

    async def _run_claimed(
        self,
        claim: Claim,
        permit: Permit,
        call: PlainCall,
        snapshot: ConfigSnapshot,
    ) -> httpx.Response:
        """Sends a claimed call; retries it only if no byte was sent."""
        avoid: list[str] = []
        try:
            while True:
                try:
                    return await self._send_claimed(claim, permit, call)
                except EndpointError as error:
                    avoid.append(permit.grant.endpoint)
                    if error.sent or len(avoid) >= MAX_ATTEMPTS:
                        raise Refused(_to_failure(error)) from error
                permit = await self._acquire_permit(call, snapshot, avoid)
        finally:
            if not claim.sent:
                with anyio.CancelScope(shield=True):
                    await self._claims.release(claim)

    async def _send_claimed(
        self, claim: Claim, permit: Permit, call: PlainCall
    ) -> httpx.Response:
        # A caller's disconnect does not cancel a call that has been sent. The
        # call's outcome is recorded and replayed if the caller retries.
        with anyio.CancelScope(shield=True):
            if not self._claims.begin_send(claim, permit.grant.endpoint):
                await self._permits.release_permit(permit, StreamEnd.UNUSED)
                detail = "the claim was held for too long before the send"
                raise Refused(not_run(Reason.DEADLINE, detail, 1000))
            try:
                response = await self._call_endpoint(permit, call)
            except EndpointError as error:
                if error.sent:
                    await self._claims.record_unknown(claim)
                else:
                    claim.mark_unsent()
                raise
            except Exception:
                await self._claims.record_unknown(claim)
                raise
            outcome = make_outcome(
                response.status_code, _content_type(response), response.content
            )
            await self._claims.record_outcome(claim, outcome)
        return response

    async def _acquire_permit(
        self, call: PlainCall, snapshot: ConfigSnapshot, avoid: list[str]
    ) -> Permit:
        request = PermitRequest(
            request_id="",
            entry=self._entry,
            pool="",
            account=call.account,
            service=call.name,
            interactive=call.service.interactive,
            repeatable=call.key is None,
            wait_ms=call.service.wait_ms,
            avoid=avoid,
        )
        reply = await self._permits.acquire_from_any(
            request,
            snapshot.pools_local_first(
                call.service.target, self._data_center, call.account
            ),
            partial(self._ids.request_id, call.account),
        )
        if isinstance(reply, Err):
            raise Refused(reply.err_value)
        return reply.ok_value

    async def _call_endpoint(
        self, permit: Permit, call: PlainCall
    ) -> httpx.Response:
        request = call.request
        query = f"?{request.query}" if request.query else ""
        url = f"http://{permit.grant.address}{call.path}{query}"
        headers = {
            name: request.headers[name]
            for name in _FORWARDED_HEADERS
            if name in request.headers
        }
        end = StreamEnd.CANCELLED
        try:
            response = await self._endpoints.call(
                request.method, url, request.body, headers
            )
            end = StreamEnd.FINISHED
        except EndpointError as error:
            end = StreamEnd.ENDPOINT_LOST if error.sent else StreamEnd.FAILED
            endpoint = permit.grant.endpoint
            events.ENDPOINT_LOST.log(endpoint=endpoint, error=str(error))
            raise
        finally:
            with anyio.CancelScope(shield=True):
                await self._permits.release_permit(permit, end)
        return response


def _content_type(response: httpx.Response) -> str:
    return response.headers.get("content-type", "text/plain")


async def _send_response(
    response: httpx.Response, responder: Responder
) -> None:
    await responder.send_response(
        response.status_code,
        [(b"content-type", _content_type(response).encode())],
        response.content,
    )


def _to_failure(error: EndpointError) -> Failure:
    if error.sent:
        return Failure(Verdict.MAY_HAVE_RUN, Reason.ENDPOINT_FAILED, str(error))
    return not_run(Reason.ENDPOINT_FAILED, str(error), 1000)
