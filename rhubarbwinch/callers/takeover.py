"""Takes over a stream from the entry to which its caller was connected."""

import attrs

from rhubarbwinch.admission.permits import Permit
from rhubarbwinch.callers.streams import OpenStreams
from rhubarbwinch.links.linkinterfaces import PeerCaller
from rhubarbwinch.links.messages import PermitGrant, StreamTake, StreamTaken
from rhubarbwinch.membership.members import Member, Members, Role
from rhubarbwinch.records.acceptedconfig import ConfigSnapshot
from rhubarbwinch.shared import identifiers
from rhubarbwinch.shared.exceptions import CodecError, LinkError


class Takeover:
    """Finds the entry that holds a stream and takes the stream over.

    Args:
        streams: The streams that this entry holds.
        links: The links to the other entries.
        members: The known members.
        timeout_ms: The timeout of the call to the other entry.
    """

    def __init__(
        self,
        streams: OpenStreams,
        links: PeerCaller,
        members: Members,
        timeout_ms: int,
    ) -> None:
        self._streams = streams
        self._links = links
        self._members = members
        self._timeout_ms = timeout_ms

    async def acquire_permit(
        self, generation: str, snapshot: ConfigSnapshot
    ) -> Permit | None:
        """Returns a stream's permit, or None if its holder does not reply.

        The other entry hands the stream over before it resumes here. If the
        other entry kept the stream, it would end the generation when its grace
        period passes without a caller.
        """
        permit = self._streams.acquire_permit(generation)
        if permit is not None:
            return permit
        holder = self._find_holder(generation)
        if holder is None:
            return None
        try:
            reply = await self._links.call(
                holder.link,
                StreamTake(generation),
                StreamTaken,
                self._timeout_ms,
            )
        except (LinkError, CodecError):
            # An entry that has ended can't end the generation.
            return None
        return self._make_permit(reply, snapshot)

    def _find_holder(self, generation: str) -> Member | None:
        incarnation = identifiers.incarnation_of(generation)
        for member in self._members.all():
            is_me = member.name == self._members.me.name
            if member.incarnation == incarnation and not is_me:
                return member if member.role is Role.ENTRY else None
        return None

    def _make_permit(
        self, reply: StreamTaken, snapshot: ConfigSnapshot
    ) -> Permit | None:
        if reply.request is None:
            return None
        pool = snapshot.pools.get(reply.request.pool)
        endpoints = pool.endpoints if pool else []
        for endpoint in endpoints:
            if endpoint.name == reply.endpoint:
                request = attrs.evolve(
                    reply.request, entry=self._members.me.name
                )
                grant = PermitGrant(
                    request.request_id, endpoint.name, endpoint.address
                )
                return Permit(request, grant)
        return None
