"""Decides which starts of endpoints are gone, after responses with status 421.

Pure code. It handles engines that restart at their address under a new id, one
a second, while the store lists the old ids for seconds. The old ids look idle,
so placement prefers them, and one request after another meets only such ids.
"""

import attrs

from rhubarbwinch.stores import positions

# A registration may be delivered this long after a peer's notice of its start:
# entries expire within seconds, and endpoints that left are kept as long.
MARK_RETENTION_MS = 60_000


@attrs.frozen
class _Mark:
    """A start that is gone.

    Attributes:
        started_ms: Unix time of the start; 0 if it is not known.
        position: Registrations up to this position in the store's history were
            written before the response that showed that the start is gone.
        entry_revision: The store's revision, in any era, of the registration
            that was known then; 0 if it is not known.
        marked_ms: When the mark was set.
    """

    started_ms: int
    position: int
    entry_revision: int
    marked_ms: int


class GoneStarts:
    """The starts of endpoints that are gone, by the id of the endpoint.

    Marks and registrations may arrive in any order.
    """

    def __init__(self) -> None:
        self._marks: dict[str, _Mark] = {}

    def mark(
        self,
        endpoint_id: str,
        started_ms: int,
        position: int,
        entry_revision: int,
        now_ms: int,
    ) -> None:
        """Marks a start as gone, unless a newer mark is known.

        Args:
            endpoint_id: The endpoint's id.
            started_ms: Unix time of the start; 0 if it is not known.
            position: The position in the store's history that was reached
                before the response that shows it.
            entry_revision: The revision of the registration that is known; 0 if
                it is not known.
            now_ms: The current time.
        """
        known = self._marks.get(endpoint_id)
        if known is not None and (known.position, known.started_ms) >= (
            position,
            started_ms,
        ):
            return
        self._marks[endpoint_id] = _Mark(
            started_ms, position, entry_revision, now_ms
        )

    def is_gone(self, endpoint_id: str, started_ms: int, position: int) -> bool:
        """Returns whether a registration is of a start that is gone.

        Args:
            endpoint_id: The endpoint's id.
            started_ms: Unix time of the registered start; 0 if it has none.
            position: The registration's position in the store's history; 0 if
                it is not known.
        """
        mark = self._marks.get(endpoint_id)
        if mark is None or 0 < mark.started_ms < started_ms:
            return False
        if positions.era_of(position) > positions.era_of(mark.position):
            # A restored store brings the known registration back. Revisions of
            # other registrations can't be compared across eras.
            return positions.revision_of(position) == mark.entry_revision
        return position <= mark.position

    def expire(self, known_ids: set[str], now_ms: int) -> None:
        """Drops the old marks of endpoints that are no longer known."""
        self._marks = {
            name: mark
            for name, mark in self._marks.items()
            if name in known_ids or now_ms - mark.marked_ms < MARK_RETENTION_MS
        }


def may_attempt(
    attempts: int, gone: int, max_attempts: int, endpoints: int
) -> bool:
    """Returns whether a request may be sent once more.

    Attempts at starts that are gone are bounded by the number of endpoints
    only, since they are no failures of a running endpoint.

    Args:
        attempts: The attempts so far.
        gone: How many of them showed that the start of the endpoint is gone.
        max_attempts: The maximum number of other attempts.
        endpoints: The number of endpoints that accepted requests at first.
    """
    return attempts - gone < max_attempts and gone <= endpoints
