"""Asks the owners of claims whether they have sent."""

import enum
from typing import Protocol

from rhubarbwinch.claims.claimpages import ClaimRecord
from rhubarbwinch.links.linktypes import Caller
from rhubarbwinch.links.messages import ClaimAnswer, ClaimQuestion
from rhubarbwinch.membership.members import Members
from rhubarbwinch.shared.exceptions import CodecError, LinkError

ASK_TIMEOUT_MS = 500


class Standing(enum.Enum):
    """What is known of a claim's owner."""

    UNSENT = "it vouches that it never sent and never will"
    HELD = "it is at work, or it did not answer"
    GONE = "its process is not among the members"


class Owners(Protocol):
    """Where the owners of claims are asked."""

    async def ask(self, record: ClaimRecord) -> Standing:
        """Returns the standing of a claim's owner."""
        ...


class LinkOwners:
    """Asks owners over the links.

    Args:
        links: The links to the other members.
        members: The known members.
    """

    def __init__(self, links: Caller, members: Members) -> None:
        self._links = links
        self._members = members

    async def ask(self, record: ClaimRecord) -> Standing:
        """Returns the standing of a claim's owner."""
        owner = self._members.get(record.owner)
        if owner is None or owner.incarnation != record.incarnation:
            return Standing.GONE
        question = ClaimQuestion(record.token, record.incarnation)
        try:
            answer = await self._links.call(
                owner.link, question, ClaimAnswer, ASK_TIMEOUT_MS
            )
        except (LinkError, CodecError):
            # Silence vouches for nothing: a paused owner may yet send.
            return Standing.HELD
        return Standing.UNSENT if answer.unsent else Standing.HELD
