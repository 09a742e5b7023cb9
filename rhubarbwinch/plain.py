"""Calls of plain services, routed by permits like generations."""

from functools import partial

import anyio
from result import Err

from rhubarbwinch import identity
from rhubarbwinch.accepted import Snapshot
from rhubarbwinch.endpoints import EndpointClient
from rhubarbwinch.exceptions import EndpointError
from rhubarbwinch.httpapi import Refused, Request, Responder
from rhubarbwinch.messages import PermitRequest, StreamEnd
from rhubarbwinch.permits import Permit, PermitClient
from rhubarbwinch.records import ServiceSpec
from rhubarbwinch.verdict import Failure, Reason, Verdict, not_run

PREFIX = "/services/"
MAX_ATTEMPTS = 3
_PASSED_ON = ("content-type", "accept", "traceparent", "idempotency-key")


def is_repeatable(service: ServiceSpec, method: str, path: str) -> bool:
    """Tells whether a call may run more than once.

    An operation that ends in `*` stands for all paths that start so.
    """
    called = f"{method} {path}"
    for operation in service.not_repeatable:
        if operation == called:
            return False
        if operation.endswith("*") and called.startswith(operation[:-1]):
            return False
    return True


class PlainCaller:
    """Runs calls of plain services.

    Args:
        permits: Where places come from.
        endpoints: Calls endpoints.
        ids: Makes request ids.
        entry: This member's name.
        data_center: Pools here are asked first.
    """

    def __init__(
        self,
        permits: PermitClient,
        endpoints: EndpointClient,
        ids: identity.IdMaker,
        entry: str,
        data_center: str,
    ) -> None:
        self._permits = permits
        self._endpoints = endpoints
        self._ids = ids
        self._entry = entry
        self._data_center = data_center

    async def serve(
        self,
        account: str,
        request: Request,
        snapshot: Snapshot,
        responder: Responder,
    ) -> None:
        """Answers a call of `/services/<service>/<path>`.

        Raises:
            Refused: It failed, with its verdict.
        """
        name, _, rest = request.path.removeprefix(PREFIX).partition("/")
        service = snapshot.services.get(name)
        if service is None or service.kind != "plain":
            raise Refused(not_run(Reason.NOT_FOUND, f"no service {name!r}"))
        if name not in snapshot.accounts[account].services:
            raise Refused(not_run(Reason.FORBIDDEN, f"{name!r} not allowed"))
        repeatable = is_repeatable(service, request.method, f"/{rest}")
        avoid: list[str] = []
        while True:
            permit = await self._permit(
                account, name, service, snapshot, avoid, repeatable
            )
            try:
                await self._call(permit, request, f"/{rest}", responder)
                return
            except EndpointError as error:
                avoid.append(permit.grant.endpoint)
                may_retry = repeatable or not error.sent
                if not may_retry or len(avoid) >= MAX_ATTEMPTS:
                    raise Refused(_failure(error)) from error

    async def _permit(
        self,
        account: str,
        name: str,
        service: ServiceSpec,
        snapshot: Snapshot,
        avoid: list[str],
        repeatable: bool,
    ) -> Permit:
        request = PermitRequest(
            request_id="",
            entry=self._entry,
            pool="",
            account=account,
            service=name,
            interactive=service.interactive,
            repeatable=repeatable,
            wait_ms=service.wait_ms,
            avoid=avoid,
        )
        answer = await self._permits.ask_any(
            request,
            snapshot.pools_near(service.target, self._data_center),
            partial(self._ids.request_id, account),
        )
        if isinstance(answer, Err):
            raise Refused(answer.err_value)
        return answer.ok_value

    async def _call(
        self, permit: Permit, request: Request, path: str, responder: Responder
    ) -> None:
        query = f"?{request.query}" if request.query else ""
        url = f"http://{permit.grant.address}{path}{query}"
        headers = {
            name: request.headers[name]
            for name in _PASSED_ON
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
            raise
        finally:
            with anyio.CancelScope(shield=True):
                await self._permits.give_back(permit, end)
        content_type = response.headers.get("content-type", "text/plain")
        await responder.whole(
            response.status_code,
            [(b"content-type", content_type.encode())],
            response.content,
        )


def _failure(error: EndpointError) -> Failure:
    if error.sent:
        return Failure(Verdict.MAY_HAVE_RUN, Reason.ENDPOINT_FAILED, str(error))
    return not_run(Reason.ENDPOINT_FAILED, str(error), 1000)
