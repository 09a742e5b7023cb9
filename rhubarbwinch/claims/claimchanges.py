"""The idempotent changes that are applied to claims in pages."""

import attrs

from rhubarbwinch.claims.claimpages import ClaimRecord, ClaimState, Outcome

_UNFINISHED = (ClaimState.CLAIMED, ClaimState.MAY_HAVE_RUN)


@attrs.frozen
class Take:
    """Claims a name that is unclaimed or was released.

    Attributes:
        name: The claim's name.
        record: The record to write.
        from_token: The token of a claim that may be replaced, because its
            owner confirmed that it never sent and never will; empty for none.
    """

    name: str
    record: ClaimRecord
    from_token: str = ""

    def apply(
        self, current: ClaimRecord | None, is_page_full: bool
    ) -> ClaimRecord | None:
        """Returns the new record if the name may be claimed."""
        if current is None:
            return None if is_page_full else self.record
        if current.state is ClaimState.RELEASED:
            return self.record
        is_replaceable = current.token == self.from_token
        if is_replaceable and current.state is ClaimState.CLAIMED:
            return self.record
        return current


@attrs.frozen
class Finish:
    """Records how a claim ended if the claim still has the given token.

    Attributes:
        name: The claim's name.
        token: The token of the claim.
        state: The claim's new state.
        endpoint: The endpoint that the call was sent to; empty for none.
        outcome: The endpoint's response, for a completed call.
    """

    name: str
    token: str
    state: ClaimState
    endpoint: str = ""
    outcome: Outcome | None = None

    def apply(
        self, current: ClaimRecord | None, is_page_full: bool
    ) -> ClaimRecord | None:
        """Returns the claim in its new state, or unchanged."""
        if current is None or current.token != self.token:
            return current
        if current.state not in _UNFINISHED or current.state is self.state:
            return current
        outcome = self.outcome
        if is_page_full and outcome is not None and outcome.body:
            outcome = attrs.evolve(outcome, body=b"", kept=False)
        return attrs.evolve(
            current,
            state=self.state,
            endpoint=self.endpoint or current.endpoint,
            outcome=outcome,
        )
