"""The state of one request while it is being served."""

import attrs

from rhubarbwinch.gateway.crashes import fingerprint
from rhubarbwinch.gateway.crashsuspects import part_key, request_key
from rhubarbwinch.gateway.decisions.eligibility import (
    Needs,
    combine_home_regions,
)
from rhubarbwinch.gateway.edge import EdgeRequest
from rhubarbwinch.gateway.platforminterface import CallHead
from rhubarbwinch.gateway.routes import Account, Route


@attrs.define
class Job:
    """One request while it is being served.

    Attributes:
        call: The head of the request.
        request: The request as it was received.
        body: The body of the request.
        route: The route of the request.
        account: The caller's client account, or None.
        priority: The rank of the request; 0 is the most urgent.
        service: The service that serves the request.
        received_ms: When the first byte of the request was read.
        deadline_ms: The deadline of the response.
        objective_ms: Until when the response meets the latency target.
        request_key: Identifies equal requests, such as retries.
        part_keys: Identify the parts of the prompt that requests share.
        sends: Number of attempts at endpoints.
        not_run: Number of them that are known not to have run the request.
        is_passed_on: Whether another gateway has the request and may run it.
        sent_ms: When the last of them began.
        unreachable: Number of attempts for which no connection could be made.
        home_regions: The only regions that may serve the request; None if all
            may.
        gone: Number of attempts whose response showed that the start of the
            endpoint is gone.
        is_forwarded: Whether another gateway has passed the request on.
        tried: Ids of endpoints that were tried and are left out from now on.
    """

    call: CallHead
    request: EdgeRequest
    body: bytes
    route: Route
    account: str | None
    priority: int
    service: str
    received_ms: int
    deadline_ms: int
    objective_ms: int
    request_key: str
    part_keys: tuple[str, ...] = ()
    sends: int = 0
    not_run: int = 0
    is_passed_on: bool = False
    sent_ms: int = 0
    unreachable: int = 0
    home_regions: frozenset[str] | None = None
    gone: int = 0
    is_forwarded: bool = False
    tried: set[str] = attrs.field(factory=set)

    @property
    def needs(self) -> Needs:
        """What the request needs of an endpoint."""
        return Needs(self.service, home_regions=self.home_regions)

    @property
    def arrivals(self) -> int:
        """Number of attempts that may have reached an endpoint."""
        return self.sends - self.unreachable

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run the request, or still runs it."""
        return self.sends > self.not_run or self.is_passed_on

    @property
    def counted_sends(self) -> int:
        """Number of attempts that count towards the maximum of a route."""
        return self.sends - self.gone

    @property
    def suspect_keys(self) -> tuple[str, ...]:
        """What is counted against the request when its endpoint crashes."""
        return (self.request_key, *self.part_keys)


def make_job(
    request: EdgeRequest,
    call: CallHead,
    route: Route,
    account: Account | None,
    priority: int,
    service: str,
) -> Job:
    """Returns the job of a request."""
    name = account.name if account is not None else None
    homes = account.home_regions if account is not None else frozenset()
    allowed_ms = route.timeout_ms
    if call.deadline_ms is not None:
        allowed_ms = min(allowed_ms, call.deadline_ms)
    return Job(
        call=call,
        request=request,
        body=request.body,
        route=route,
        account=name,
        priority=priority,
        service=service,
        received_ms=request.received_ms,
        deadline_ms=request.received_ms + allowed_ms,
        objective_ms=request.received_ms + route.objective_ms,
        request_key=request_key(fingerprint(name, call.target, request.body)),
        part_keys=tuple(part_key(part) for part in call.prompt_parts[:-1]),
        home_regions=combine_home_regions(route.home_regions, homes),
    )
