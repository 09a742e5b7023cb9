"""The decisions that admission returns and the options that enable them."""

import attrs

from rhubarbwinch.links.messages import (
    PermitReply,
    PermitRequest,
    PriorityChange,
)


@attrs.frozen
class Decision:
    """The reply to a submitted request."""

    request_id: str
    reply: PermitReply


@attrs.frozen
class EntryChange:
    """A message and the name of the entry to send it to."""

    entry: str
    message: PriorityChange


@attrs.frozen
class Options:
    """Which decisions are enabled; simulations disable some for comparison.

    Attributes:
        placement: The placement policy's name.
        is_fair: Whether accounts share the pool by weight; otherwise requests
            are served first in, first out.
        refuses_early: Whether requests that can't start in time are refused
            immediately; otherwise they are queued until their deadline.
        limits_retries: Whether each account has a retry budget.
        lowers_priority: Whether a stream's priority is lowered when an engine
            needs more KV cache than was predicted.
    """

    placement: str = "quantile"
    is_fair: bool = True
    refuses_early: bool = True
    limits_retries: bool = True
    lowers_priority: bool = True

    def share_key(self, request: PermitRequest) -> str:
        """Returns the fair queueing key: the account, or "" if not fair."""
        return request.account if self.is_fair else ""
