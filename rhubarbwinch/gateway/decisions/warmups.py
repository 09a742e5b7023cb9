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
# An endpoint that accepted no connection may be back, and cold, for this time.
# After that its registration is removed or says that it is cold.
RESTART_MS = 10_000


class Warmups:
    """Knows which endpoints may have restarted, and this gateway's shares.

    Args:
        name: The name of this gateway.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        # The same order as for declared rate limits: those that may send at
        # the lower rate may also send at the higher one.
        self._rankings = MemberRankings("limit", name)
        self._sent: dict[str, deque[int]] = {}
        self._cold_until_ms: dict[str, int] = {}
        self._unanswered: set[str] = set()

    def set_members(self, names: Iterable[str]) -> None:
        """Sets the names of all gateways that may send requests.

        Args:
            names: Gateways that are registered or alive, this one included.
        """
        self._rankings.set_members(names)

    def record_unreachable(self, endpoint_id: str, now_ms: int) -> None:
        """Records that an endpoint accepted no connection of a gateway.

        It may have ended, and is cold when it is back.
        """
        self._cold_until_ms[endpoint_id] = now_ms + RESTART_MS
        self._unanswered.add(endpoint_id)

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
        if endpoint_id in self._unanswered:
            self._unanswered.remove(endpoint_id)
            self._cold_until_ms[endpoint_id] = now_ms + warmup_ms

    def may_have_restarted(self, endpoint_id: str, now_ms: int) -> bool:
        """Returns whether an endpoint may be cold without having said so."""
        return now_ms < self._cold_until_ms.get(endpoint_id, 0)

    def expire(self, now_ms: int) -> None:
        """Drops what does not count any more."""
        expired = [
            endpoint_id
            for endpoint_id, until_ms in self._cold_until_ms.items()
            if now_ms >= until_ms
        ]
        for endpoint_id in expired:
            del self._cold_until_ms[endpoint_id]
            self._unanswered.discard(endpoint_id)
        for endpoint_id in list(self._sent):
            if not self._recent(endpoint_id, now_ms):
                del self._sent[endpoint_id]

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
            self._name, self._rankings.ranking(endpoint_id), _units(per_second)
        )
        if not share:
            return None
        sent = self._recent(endpoint_id, now_ms)
        if len(sent) < share:
            return 0
        return sent[len(sent) - share] + WINDOW_MS - now_ms

    def record_send(self, endpoint_id: str, at_ms: int) -> None:
        """Records a request that is sent now, or later at the end of a delay.

        Those sent in the second before now still count for others, so none is
        dropped here.
        """
        self._sent.setdefault(endpoint_id, deque()).append(at_ms)

    def holders(self, endpoint_id: str, per_second: float) -> list[str]:
        """Returns the gateways that may send to a cold endpoint."""
        return self._rankings.ranking(endpoint_id)[: _units(per_second)]

    def forget(self, endpoint_id: str) -> None:
        """Drops the order of the gateways for an endpoint that is gone.

        Its last requests and failures are kept until they expire, since it may
        be back under its id.
        """
        self._rankings.forget(endpoint_id)

    def _recent(self, endpoint_id: str, now_ms: int) -> deque[int]:
        sent = self._sent.setdefault(endpoint_id, deque())
        while sent and now_ms - sent[0] >= WINDOW_MS:
            sent.popleft()
        return sent


def _units(per_second: float) -> int:
    """Returns a rate as whole requests; a rate below one counts as one."""
    return max(1, int(per_second))
