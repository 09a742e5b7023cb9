"""What admission decides, and which of its decisions are made at all."""

import attrs

from rhubarbwinch.links.messages import (
    PermitReply,
    PermitRequest,
    PriorityChange,
)


@attrs.frozen
class Decision:
    """The answer to a request that was submitted."""

    request_id: str
    reply: PermitReply


@attrs.frozen
class EntryChange:
    """A message for the entry that relays a stream."""

    entry: str
    message: PriorityChange


@attrs.frozen
class Options:
    """Which decisions are made; experiments turn them off.

    Attributes:
        placement: The placement policy's name.
        is_fair: Whether accounts share by weight; otherwise first come.
        refuses_early: Whether requests that can't start in time are refused
            at once; otherwise they wait for their deadline.
        limits_retries: Whether retries have a budget.
        lowers_priority: Whether a stream yields when predictions fail.
    """

    placement: str = "quantile"
    is_fair: bool = True
    refuses_early: bool = True
    limits_retries: bool = True
    lowers_priority: bool = True

    def share_key(self, request: PermitRequest) -> str:
        """Returns what shares are counted by; one key for all if unfair."""
        return request.account if self.is_fair else ""
