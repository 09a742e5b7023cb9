"""Takes a stream over from the entry that its caller lost."""

import attrs

from rhubarbwinch.admission.permits import Permit
from rhubarbwinch.callers.streams import OpenStreams
from rhubarbwinch.links.linktypes import Caller
from rhubarbwinch.links.messages import PermitGrant, StreamTake, StreamTaken
from rhubarbwinch.membership.members import Member, Members, Role
from rhubarbwinch.records.accepted import Snapshot
from rhubarbwinch.shared import identity
from rhubarbwinch.shared.exceptions import CodecError, LinkError


class Takeover:
    """Finds the holder of a stream and has it handed over.

    Args:
        streams: The streams that this entry holds.
        links: The links to the other entries.
        members: The known members.
        timeout_ms: The longest wait for the other entry.
    """

    def __init__(
        self,
        streams: OpenStreams,
        links: Caller,
        members: Members,
        timeout_ms: int,
    ) -> None:
        self._streams = streams
        self._links = links
        self._members = members
        self._timeout_ms = timeout_ms

    async def take(self, generation: str, snapshot: Snapshot) -> Permit | None:
        """Returns a stream's permit, or None if its holder does not answer.

        The other entry must know before the stream goes on here, or it would
        end the generation when its own caller stays away.
        """
        permit = self._streams.take(generation)
        if permit is not None:
            return permit
        holder = self._holder(generation)
        if holder is None:
            return None
        try:
            taken = await self._links.call(
                holder.link,
                StreamTake(generation),
                StreamTaken,
                self._timeout_ms,
            )
        except (LinkError, CodecError):
            # An entry that is gone ends nothing.
            return None
        return self._adopt(taken, snapshot)

    def _holder(self, generation: str) -> Member | None:
        incarnation = identity.incarnation_of(generation)
        for member in self._members.all():
            is_me = member.name == self._members.me.name
            if member.incarnation == incarnation and not is_me:
                return member if member.role is Role.ENTRY else None
        return None

    def _adopt(self, taken: StreamTaken, snapshot: Snapshot) -> Permit | None:
        if taken.request is None:
            return None
        pool = snapshot.pools.get(taken.request.pool)
        endpoints = pool.endpoints if pool else []
        for endpoint in endpoints:
            if endpoint.name == taken.endpoint:
                request = attrs.evolve(
                    taken.request, entry=self._members.me.name
                )
                grant = PermitGrant(
                    request.request_id, endpoint.name, endpoint.address
                )
                return Permit(request, grant)
        return None
