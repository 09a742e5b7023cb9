"""Acquires and releases an entry's permits at the owners of pools."""

from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from rhubarbwinch.links.linkinterfaces import RunningPeerCaller
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
    """A granted request; the permit must be released when it has ended.

    Attributes:
        request: The permit request.
        grant: The endpoint and priority granted.
        tokens: The tokens relayed to the caller so far, for stream reports.
    """

    request: PermitRequest
    grant: PermitGrant
    tokens: int = 0


def pool_owner(
    pool: str, members: Members, excluded: str = ""
) -> Member | None:
    """Returns the serving broker that owns a pool.

    Args:
        pool: The pool's name.
        members: The known members.
        excluded: The name of a broker to leave out, or empty for none.
    """
    serving = members.serving(Role.BROKER)
    brokers = {m.name: m for m in serving if m.name != excluded}
    name = rendezvous.owner(pool, brokers)
    return brokers[name] if name else None


class PermitClient:
    """Requests permits from the owners of pools.

    Args:
        links: The links to the brokers.
        members: The known members.
        timeout_ms: The timeout of a reply, in addition to the queue wait.
        counters: Where late replies are counted.
    """

    def __init__(
        self,
        links: RunningPeerCaller,
        members: Members,
        timeout_ms: int,
        counters: metrics.Metrics | None = None,
    ) -> None:
        self._metrics = counters
        self._links = links
        self._members = members
        self._timeout_ms = timeout_ms
        self._permits: dict[str, Permit] = {}
        links.on_late_reply(PermitReply, self._release_late)

    @property
    def open_permits(self) -> list[Permit]:
        """The permits that this entry holds."""
        return list(self._permits.values())

    def add_permit(self, permit: Permit) -> None:
        """Registers a permit that another entry acquired."""
        self._permits[permit.request.request_id] = permit

    def remove_permit(self, permit: Permit) -> None:
        """Removes a permit that was released or moved to another entry."""
        self._permits.pop(permit.request.request_id, None)

    async def acquire_permit(
        self, request: PermitRequest, excluded: str = ""
    ) -> Result[Permit, Failure]:
        """Requests a permit from the owner of the request's pool.

        Args:
            request: The permit request.
            excluded: The name of a broker that did not reply; empty for none.
        """
        broker = pool_owner(request.pool, self._members, excluded)
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
            empty_reply = not_run(Reason.INTERNAL, "an empty answer")
            return Err(reply.failure or empty_reply)
        permit = Permit(request, reply.grant)
        self._permits[request.request_id] = permit
        return Ok(permit)

    async def acquire_from_any(
        self,
        request: PermitRequest,
        pools: list[str],
        new_id: Callable[[], str],
    ) -> Result[Permit, Failure]:
        """Requests a permit from each pool in order until one grants it.

        Each attempt has its own request id, so that a late grant can be
        released without affecting the permit that was acquired instead.
        """
        outcome: Result[Permit, Failure] = Err(
            not_run(
                Reason.NO_ENDPOINT,
                f"no pool of {request.service}",
                RETRY_AFTER_MS,
            )
        )
        for pool in pools:
            owner = pool_owner(pool, self._members)
            attempt = attrs.evolve(request, pool=pool, request_id=new_id())
            with tracing.span("permit", pool=pool):
                attempt = attrs.evolve(
                    attempt, traceparent=tracing.current_traceparent()
                )
                outcome = await self.acquire_permit(attempt)
                if _is_broker_unavailable(outcome) and owner is not None:
                    # The broker is down; the pool's next owner can reply.
                    attempt = attrs.evolve(attempt, request_id=new_id())
                    outcome = await self.acquire_permit(attempt, owner.name)
            if outcome.is_ok():
                break
        return outcome

    async def release_permit(
        self, permit: Permit, end: StreamEnd, tokens: int = 0
    ) -> None:
        """Releases a permit; stream reports make up for a lost message."""
        self.remove_permit(permit)
        request = permit.request
        message = PermitRelease(request.request_id, request.pool, end, tokens)
        broker = pool_owner(request.pool, self._members)
        if broker is not None:
            await self._send(broker.link, message)

    async def _release_late(self, reply: PermitReply) -> None:
        """Releases a permit that was granted after its request timed out.

        The reply doesn't name the pool, so all brokers receive the release.
        """
        if self._metrics is not None:
            self._metrics.count(metrics.LATE_ANSWERS)
        if reply.grant is None:
            return
        message = PermitRelease(reply.grant.request_id, "", StreamEnd.UNUSED)
        for broker in self._members.serving(Role.BROKER):
            await self._send(broker.link, message)

    async def _send(self, address: str, message: PermitRelease) -> None:
        try:
            await self._links.send(address, message)
        except LinkError:
            # The broker is down. The pool's next owner learns the open
            # streams from the reports.
            return


def _is_broker_unavailable(outcome: Result[Permit, Failure]) -> bool:
    return (
        isinstance(outcome, Err)
        and outcome.err_value.reason is Reason.BROKER_UNAVAILABLE
    )
