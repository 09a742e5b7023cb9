"""The changes of claims; each looks for its own token first."""

import attrs

from rhubarbwinch.claims.claimpages import ClaimRecord, ClaimState, Outcome

_UNFINISHED = (ClaimState.CLAIMED, ClaimState.MAY_HAVE_RUN)


@attrs.frozen
class Take:
    """Claims a name that is free or was released.

    Attributes:
        name: The claim's name.
        record: What is written.
        from_token: The token of an owner that vouched that it never sent;
            its claim may be replaced. Empty for none.
    """

    name: str
    record: ClaimRecord
    from_token: str = ""

    def apply(
        self, current: ClaimRecord | None, crowded: bool
    ) -> ClaimRecord | None:
        """Returns our record if the name may be claimed."""
        if current is None:
            return None if crowded else self.record
        if current.state is ClaimState.RELEASED:
            return self.record
        vouched = current.token == self.from_token
        if vouched and current.state is ClaimState.CLAIMED:
            return self.record
        return current


@attrs.frozen
class Finish:
    """Records how a claim ended; only with the claim's own token.

    Attributes:
        name: The claim's name.
        token: The token of the claim.
        state: What it becomes.
        endpoint: Where the call was sent.
        outcome: The endpoint's answer, for a completed call.
    """

    name: str
    token: str
    state: ClaimState
    endpoint: str = ""
    outcome: Outcome | None = None

    def apply(
        self, current: ClaimRecord | None, crowded: bool
    ) -> ClaimRecord | None:
        """Returns the claim as it ended."""
        if current is None or current.token != self.token:
            return current
        if current.state not in _UNFINISHED or current.state is self.state:
            return current
        outcome = self.outcome
        if crowded and outcome is not None and outcome.body:
            outcome = attrs.evolve(outcome, body=b"", kept=False)
        return attrs.evolve(
            current,
            state=self.state,
            endpoint=self.endpoint or current.endpoint,
            outcome=outcome,
        )
