"""Divides whole units among the gateways: a pure decision without messages.

All gateways that know the same members compute the same shares, so the shares
of an endpoint's slots or of its requests a second never add up to more than
there are. Rendezvous hashing gives each endpoint another order of the gateways.
"""

from collections.abc import Iterable

from rhubarbwinch.shared import rendezvous


class MemberRankings:
    """The order of the gateways for each endpoint.

    Args:
        purpose: What is divided; each purpose has orders of its own.
        name: The name of this gateway.
    """

    def __init__(self, purpose: str, name: str) -> None:
        self._purpose = purpose
        self._rankings: dict[str, list[str]] = {}
        self.members: tuple[str, ...] = (name,)

    def set_members(self, names: Iterable[str]) -> None:
        """Sets the names of the gateways."""
        members = tuple(sorted(names))
        if members != self.members:
            self.members = members
            self._rankings.clear()

    def ranking(self, endpoint_id: str) -> list[str]:
        """Returns the gateways in their order for an endpoint."""
        if endpoint_id not in self._rankings:
            self._rankings[endpoint_id] = rendezvous.ranking(
                f"{self._purpose}\0{endpoint_id}", self.members
            )
        return self._rankings[endpoint_id]

    def forget(self, endpoint_id: str) -> None:
        """Drops what is kept for an endpoint that is gone."""
        self._rankings.pop(endpoint_id, None)


def share_of(name: str, ranking: list[str], units: int) -> int:
    """Returns how many of `units` a gateway has; the first have one more."""
    if name not in ranking:
        return 0
    whole, rest = divmod(units, len(ranking))
    return whole + (ranking.index(name) < rest)
