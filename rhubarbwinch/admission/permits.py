"""The entry's side of permits: finds a pool's owner and asks it."""

from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from rhubarbwinch.links.linktypes import RunningCaller
from rhubarbwinch.links.messages import (
    PermitGrant,
    PermitRelease,
    PermitReply,
    PermitRequest,
    StreamEnd,
)
from rhubarbwinch.membership.members import Member, Members, Role
from rhubarbwinch.shared import metrics, rendezvous, tracing
from rhubarbwinch.shared.exceptions import CodecError, LinkError, LinkTimeout
from rhubarbwinch.shared.verdict import Failure, Reason, not_run

RETRY_AFTER_MS = 1000


@attrs.define(eq=False)
class Permit:
    """A granted place, to be given back when its request has ended.

    Attributes:
        request: What was asked for.
        grant: The place.
        tokens: The tokens passed on so far, for the reports.
    """

    request: PermitRequest
    grant: PermitGrant
    tokens: int = 0


def pool_owner(pool: str, members: Members, avoid: str = "") -> Member | None:
    """Returns the broker that owns a pool, or would without `avoid`."""
    serving = members.serving(Role.BROKER)
    brokers = {m.name: m for m in serving if m.name != avoid}
    name = rendezvous.owner(pool, brokers)
    return brokers[name] if name else None


class PermitClient:
    """Asks the owners of pools for permits.

    Args:
        links: The links to the brokers.
        members: The known members.
        timeout_ms: The longest wait for an answer, beyond the queue's.
        counters: Where late answers are counted.
    """

    def __init__(
        self,
        links: RunningCaller,
        members: Members,
        timeout_ms: int,
        counters: metrics.Metrics | None = None,
    ) -> None:
        self._metrics = counters
        self._links = links
        self._members = members
        self._timeout_ms = timeout_ms
        self._open: dict[str, Permit] = {}
        links.on_late(PermitReply, self._hand_back)

    @property
    def open_permits(self) -> list[Permit]:
        """The permits that are held."""
        return list(self._open.values())

    def adopt(self, permit: Permit) -> None:
        """Takes over a permit that another entry asked for."""
        self._open[permit.request.request_id] = permit

    def drop(self, permit: Permit) -> None:
        """Forgets a permit that another entry has taken over."""
        self._open.pop(permit.request.request_id, None)

    async def ask(
        self, request: PermitRequest, avoid: str = ""
    ) -> Result[Permit, Failure]:
        """Asks for a place and returns it or why there is none.

        Args:
            request: What is asked for.
            avoid: A broker that did not answer.
        """
        broker = pool_owner(request.pool, self._members, avoid)
        if broker is None:
            return Err(
                not_run(
                    Reason.BROKER_UNAVAILABLE,
                    f"no broker for pool {request.pool}",
                    RETRY_AFTER_MS,
                )
            )
        try:
            reply = await self._links.call(
                broker.link,
                request,
                PermitReply,
                request.wait_ms + self._timeout_ms,
            )
        except (LinkError, LinkTimeout, CodecError) as error:
            detail = f"broker {broker.name}: {error}"
            return Err(
                not_run(Reason.BROKER_UNAVAILABLE, detail, RETRY_AFTER_MS)
            )
        if reply.grant is None:
            missing = not_run(Reason.INTERNAL, "an empty answer")
            return Err(reply.failure or missing)
        permit = Permit(request, reply.grant)
        self._open[request.request_id] = permit
        return Ok(permit)

    async def ask_any(
        self,
        request: PermitRequest,
        pools: list[str],
        new_id: Callable[[], str],
    ) -> Result[Permit, Failure]:
        """Asks the pools in turn until one has a place.

        Each asking has an id of its own, so that a late grant can be handed
        back without touching the permit that was taken instead.
        """
        answer: Result[Permit, Failure] = Err(
            not_run(
                Reason.NO_ENDPOINT,
                f"no pool of {request.service}",
                RETRY_AFTER_MS,
            )
        )
        for pool in pools:
            owner = pool_owner(pool, self._members)
            asked = attrs.evolve(request, pool=pool, request_id=new_id())
            with tracing.span("permit", pool=pool):
                asked = attrs.evolve(asked, traceparent=tracing.current())
                answer = await self.ask(asked)
                if _is_silent(answer) and owner is not None:
                    # Its broker has ended; the pool's next owner can answer.
                    asked = attrs.evolve(asked, request_id=new_id())
                    answer = await self.ask(asked, owner.name)
            if answer.is_ok():
                break
        return answer

    async def give_back(
        self, permit: Permit, end: StreamEnd, tokens: int = 0
    ) -> None:
        """Returns a permit; a lost message is made good by the reports."""
        self.drop(permit)
        request = permit.request
        release = PermitRelease(request.request_id, request.pool, end, tokens)
        broker = pool_owner(request.pool, self._members)
        if broker is not None:
            await self._send(broker.link, release)

    async def _hand_back(self, reply: PermitReply) -> None:
        """Returns a permit whose request has been given up."""
        if self._metrics is not None:
            self._metrics.count(metrics.LATE_ANSWERS)
        if reply.grant is None:
            return
        release = PermitRelease(reply.grant.request_id, "", StreamEnd.UNUSED)
        for broker in self._members.serving(Role.BROKER):
            await self._send(broker.link, release)

    async def _send(self, address: str, release: PermitRelease) -> None:
        try:
            await self._links.send(address, release)
        except LinkError:
            # The broker is gone; the next owner learns from the reports.
            return


def _is_silent(answer: Result[Permit, Failure]) -> bool:
    return (
        isinstance(answer, Err)
        and answer.err_value.reason is Reason.BROKER_UNAVAILABLE
    )
