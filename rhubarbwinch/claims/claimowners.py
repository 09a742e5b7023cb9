"""Asks the owners of claims whether they sent or may still send the call."""

import enum
from typing import Protocol

from rhubarbwinch.claims.claimpages import ClaimRecord
from rhubarbwinch.links.linkinterfaces import PeerCaller
from rhubarbwinch.links.messages import ClaimAnswer, ClaimQuestion
from rhubarbwinch.membership.members import Members
from rhubarbwinch.shared.exceptions import CodecError, LinkError

STATUS_TIMEOUT_MS = 500


class OwnerStatus(enum.Enum):
    """What is known about the owner of a claim."""

    UNSENT = "the owner confirms that it never sent and never will"
    MAY_SEND = "the owner may still send, or it did not reply"
    NOT_A_MEMBER = "the owner's process is not among the known members"


class ClaimOwners(Protocol):
    """Asks the owners of claims for their status."""

    async def get_status(self, record: ClaimRecord) -> OwnerStatus:
        """Returns the status of a claim's owner."""
        ...


class LinkClaimOwners:
    """Asks owners of claims over the links.

    Args:
        links: The links to the other members.
        members: The known members.
    """

    def __init__(self, links: PeerCaller, members: Members) -> None:
        self._links = links
        self._members = members

    async def get_status(self, record: ClaimRecord) -> OwnerStatus:
        """Returns the status of a claim's owner."""
        owner = self._members.get(record.owner)
        if owner is None or owner.incarnation != record.incarnation:
            return OwnerStatus.NOT_A_MEMBER
        question = ClaimQuestion(record.token, record.incarnation)
        try:
            answer = await self._links.call(
                owner.link, question, ClaimAnswer, STATUS_TIMEOUT_MS
            )
        except (LinkError, CodecError):
            # A missing reply proves nothing: a paused owner may still send.
            return OwnerStatus.MAY_SEND
        return OwnerStatus.UNSENT if answer.unsent else OwnerStatus.MAY_SEND
