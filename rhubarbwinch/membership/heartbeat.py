"""The messages of gossip."""

import attrs

from rhubarbwinch.membership.members import MemberNews
from rhubarbwinch.membership.rumours import Rumour


@attrs.frozen
class Heartbeat:
    """Goes to a peer and comes back from it.

    Attributes:
        sender: The member that sends it.
        generation: The generation of the configuration in force there.
        digest: A hash of its view of the members.
        rumours: Some of what it has heard lately.
    """

    sender: str
    generation: int = 0
    digest: int = 0
    rumours: list[Rumour] = attrs.field(factory=list)


@attrs.frozen
class ViewRequest:
    """Asks for the members in the buckets that differ.

    Attributes:
        digests: The sender's hash of each bucket; none asks for all.
    """

    digests: list[int] = attrs.field(factory=list)


@attrs.frozen
class ViewReply:
    """What a peer knows of the members in those buckets."""

    news: list[MemberNews]
