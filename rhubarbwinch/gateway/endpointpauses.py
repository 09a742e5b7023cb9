"""Remembers which endpoints have asked this gateway for time.

Pure code. It handles endpoints that are overloaded or restarting inside: they
turn a request away and say for how long they want no other one.
"""

# A longer pause may be an error of the endpoint, which would be out of use.
MAX_PAUSE_MS = 60_000


class EndpointPauses:
    """When each endpoint accepts requests of this gateway again."""

    def __init__(self) -> None:
        self._ends_ms: dict[str, int] = {}

    def record(self, endpoint: str, pause_ms: int, now_ms: int) -> bool:
        """Records a request for time; returns whether it extends a pause."""
        end = now_ms + min(pause_ms, MAX_PAUSE_MS)
        if end <= self._ends_ms.get(endpoint, now_ms):
            return False
        self._ends_ms[endpoint] = end
        return True

    def left_ms(self, endpoint: str, now_ms: int) -> int:
        """Returns for how long an endpoint wants no requests, 0 if it does."""
        end = self._ends_ms.get(endpoint)
        if end is None:
            return 0
        if end <= now_ms:
            del self._ends_ms[endpoint]
            return 0
        return end - now_ms

    def forget(self, endpoint: str) -> None:
        """Drops the pause of an endpoint that is gone."""
        self._ends_ms.pop(endpoint, None)
