"""Divides the slots of endpoints that fall over when they refuse too much.

Pure code. It is meant for plain services whose endpoints declare that they are
brittle, while more is asked for than they can run: each gateway knows only its
own calls, so many of them together fill the queues of the endpoints, which then
refuse requests. With shares the gateways together never use more slots than an
endpoint has, and no request waits at it.
"""

from collections.abc import Iterable

from rhubarbwinch.gateway.decisions.shares import MemberRankings, share_of
from rhubarbwinch.gateway.endpoints import Endpoint

# A service counts as brittle for this time after a response has said so. All
# its responses do.
BRITTLE_MS = 3_000


class SlotShares:
    """Knows which services are brittle, and the shares of this gateway.

    Args:
        name: The name of this gateway.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._rankings = MemberRankings("slots", name)
        self._declared_ms: dict[str, int] = {}
        self._heard_ms: dict[str, int] = {}

    def set_gateways(self, names: Iterable[str]) -> None:
        """Sets the names of the gateways that share the slots."""
        self._rankings.set_members(names)

    def record_response(
        self, service: str, is_brittle: bool, now_ms: int
    ) -> None:
        """Records what a response of a service's endpoint declares."""
        if is_brittle:
            self._declared_ms[service] = now_ms
        else:
            self._declared_ms.pop(service, None)
            self._heard_ms.pop(service, None)

    def record_listing(self, services: Iterable[str], now_ms: int) -> None:
        """Records the services that are brittle to another gateway."""
        for service in services:
            self._heard_ms[service] = now_ms

    def listing(self, now_ms: int) -> list[str]:
        """Returns the services that are brittle to this gateway."""
        return [
            service
            for service, at_ms in self._declared_ms.items()
            if now_ms - at_ms <= BRITTLE_MS
        ]

    def is_brittle(self, service: str, now_ms: int) -> bool:
        """Returns whether the endpoints of a service are brittle."""
        return any(
            at_ms is not None and now_ms - at_ms <= BRITTLE_MS
            for at_ms in (
                self._declared_ms.get(service),
                self._heard_ms.get(service),
            )
        )

    def share(self, endpoint: Endpoint) -> int:
        """Returns how many slots of an endpoint this gateway may use."""
        ranking = self._rankings.ranking(endpoint.id)
        return share_of(self._name, ranking, endpoint.slots)

    def holders(self, endpoint: Endpoint) -> list[str]:
        """Returns the gateways that may use slots of an endpoint."""
        return self._rankings.ranking(endpoint.id)[: endpoint.slots]

    def forget(self, endpoint_id: str) -> None:
        """Drops what is kept for an endpoint that is gone."""
        self._rankings.forget(endpoint_id)
