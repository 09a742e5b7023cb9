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
class EntryMessage:
    """A message and the name of the entry to send it to."""

    entry: str
    message: PriorityChange


@attrs.frozen
class AdmissionOptions:
    """Which decisions are enabled; simulations disable some for comparison.

    Attributes:
        placement: The placement policy's name.
        shares_by_weight: Whether accounts share the pool by weight; otherwise
            requests are served first in, first out.
        rejects_early: Whether requests that can't start in time are refused
            immediately; otherwise they are queued until their deadline.
        has_retry_budget: Whether each account has a retry budget.
        lowers_priority: Whether a stream's priority is lowered when an engine
            needs more KV cache than was predicted.
    """

    placement: str = "quantile"
    shares_by_weight: bool = True
    rejects_early: bool = True
    has_retry_budget: bool = True
    lowers_priority: bool = True

    def share_key(self, request: PermitRequest) -> str:
        """Returns the fair queueing key: the account, or "" if not fair."""
        return request.account if self.shares_by_weight else ""
