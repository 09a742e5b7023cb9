"""Limits the requests to endpoints that are cold.

Pure code. It is meant for endpoints that start or lose their caches under
traffic: all endpoints of a data centre come back together while requests wait,
or one that has restarted looks empty to every gateway. A cold endpoint crashes
when all gateways together send it clearly more than its rate.

Each gateway may send its share of the rate in any second, without a message. A
gateway that is cut off from the others still counts them as members, so that
its share does not grow.
"""

from collections import deque
from collections.abc import Iterable

from rhubarbwinch.gateway.decisions.shares import MemberRankings, share_of

# Shares are counted in any window of this length.
WINDOW_MS = 1_000


class Warmups:
    """Knows which endpoints may have restarted, and this gateway's shares.

    Args:
        name: The name of this gateway.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._rankings = MemberRankings("warmup", name)
        self._sent: dict[str, deque[int]] = {}
        self._cold_until_ms: dict[str, int | None] = {}

    def set_members(self, names: Iterable[str]) -> None:
        """Sets the names of all gateways that may send requests.

        Args:
            names: Gateways that are registered or alive, this one included.
        """
        self._rankings.set_members(names)

    def record_unreachable(self, endpoint_id: str) -> None:
        """Records that an endpoint accepted no connection.

        It may have ended, and is cold when it is back.
        """
        self._cold_until_ms[endpoint_id] = None

    def record_response(
        self, endpoint_id: str, warmup_ms: int, now_ms: int
    ) -> None:
        """Records a response of an endpoint.

        Args:
            endpoint_id: The endpoint's id.
            warmup_ms: How long an endpoint of its service is cold after its
                start.
            now_ms: The current time.
        """
        if self._cold_until_ms.get(endpoint_id, 0) is None:
            self._cold_until_ms[endpoint_id] = now_ms + warmup_ms

    def may_have_restarted(self, endpoint_id: str, now_ms: int) -> bool:
        """Returns whether an endpoint may be cold without having said so."""
        until_ms = self._cold_until_ms.get(endpoint_id, 0)
        if until_ms is None or now_ms < until_ms:
            return True
        self._cold_until_ms.pop(endpoint_id, None)
        return False

    def delay_ms(
        self, endpoint_id: str, per_second: float, now_ms: int
    ) -> int | None:
        """Returns after how long this gateway may send to a cold endpoint.

        Args:
            endpoint_id: The endpoint's id.
            per_second: The requests a second that it tolerates from all.
            now_ms: The current time.

        Returns:
            0 if it may send now; None if only other gateways may.
        """
        share = share_of(
            self._name, self._rankings.ranking(endpoint_id), int(per_second)
        )
        if not share:
            return None
        sent = self._recent(endpoint_id, now_ms)
        if len(sent) < share:
            return 0
        return sent[len(sent) - share] + WINDOW_MS - now_ms

    def record_send(self, endpoint_id: str, now_ms: int) -> None:
        """Records a request that is sent now, or at the end of a delay."""
        self._recent(endpoint_id, now_ms).append(now_ms)

    def holders(self, endpoint_id: str, per_second: float) -> list[str]:
        """Returns the gateways that may send to a cold endpoint."""
        return self._rankings.ranking(endpoint_id)[: int(per_second)]

    def forget(self, endpoint_id: str) -> None:
        """Drops what is kept for an endpoint that is gone."""
        self._rankings.forget(endpoint_id)
        self._sent.pop(endpoint_id, None)
        self._cold_until_ms.pop(endpoint_id, None)

    def _recent(self, endpoint_id: str, now_ms: int) -> deque[int]:
        sent = self._sent.setdefault(endpoint_id, deque())
        while sent and now_ms - sent[0] >= WINDOW_MS:
            sent.popleft()
        return sent
