"""Messages that members exchange for gossip."""

import attrs

from rhubarbwinch.membership.members import MemberNews
from rhubarbwinch.membership.updatebuffer import Rumour


@attrs.frozen
class Heartbeat:
    """A heartbeat; the reply to a heartbeat has the same form.

    Attributes:
        sender: The member that sends the heartbeat.
        generation: The configuration generation that is active at the sender.
        digest: A hash of the sender's view of the members.
        rumours: Recent updates that the receiver may not have.
    """

    sender: str
    generation: int = 0
    digest: int = 0
    rumours: list[Rumour] = attrs.field(factory=list)


@attrs.frozen
class ViewRequest:
    """Asks a peer for the members in the buckets that differ.

    Attributes:
        digests: The sender's hash of each bucket; an empty list asks for all.
    """

    digests: list[int] = attrs.field(factory=list)


@attrs.frozen
class ViewReply:
    """The state of the members in the requested buckets, as the peer has it."""

    news: list[MemberNews]
