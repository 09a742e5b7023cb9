"""The endpoints that a gateway believes in, from the store's entries.

Pure code. It answers engines that leave with or without a word, entries that
lapse while the store is away, and addresses that are used again.
"""

import attrs

from rhubarbwinch.gateway.endpoints import Endpoint, EndpointState

# A lapsed entry that has not come back after this time names an endpoint that
# is gone: live ones are back two seconds after the store is.
LAPSE_MS = 2_300
# An endpoint without an entry goes on for a while after it was removed.
KEEP_GONE_MS = 60_000


@attrs.define
class Known:
    """An endpoint and what is believed of it.

    Attributes:
        endpoint: Its last registration that could be read.
        is_leaving: Whether it takes no new work.
        left_ms: When its leaving became known; 0 while it stays.
        warm_at_ms: When it is no longer slow after its start.
    """

    endpoint: Endpoint
    is_leaving: bool = False
    left_ms: int = 0
    warm_at_ms: int = 0
    lapse_due_ms: int = 0
    is_readable: bool = True

    @property
    def takes_work(self) -> bool:
        """Whether new requests may go there."""
        return not self.is_leaving and self.is_readable


class Fleet:
    """Endpoints by id."""

    def __init__(self) -> None:
        self._known: dict[str, Known] = {}

    def get(self, endpoint_id: str) -> Known | None:
        """Returns what is believed of an endpoint, or None."""
        return self._known.get(endpoint_id)

    def of_service(self, service: str) -> list[Known]:
        """Returns the endpoints of a service that take new requests."""
        return [
            known
            for known in self._known.values()
            if known.endpoint.service == service and known.takes_work
        ]

    def put(self, endpoint: Endpoint, now_ms: int) -> bool:
        """Takes a registration; returns whether its endpoint now leaves."""
        known = self._known.get(endpoint.id)
        is_new = (
            known is None
            or known.endpoint.incarnation != endpoint.incarnation
            or known.endpoint.address != endpoint.address
        )
        if known is None or is_new:
            known = self._known[endpoint.id] = Known(endpoint)
        known.endpoint = endpoint
        known.lapse_due_ms = 0
        known.is_readable = True
        known.warm_at_ms = now_ms + endpoint.warmup_ms
        if endpoint.state is EndpointState.DRAINING:
            return self._leave(known, now_ms)
        if known.is_leaving:
            # It was taken as gone, but its entry is back.
            known.is_leaving = False
            known.left_ms = 0
        return False

    def note_unreadable(self, endpoint_id: str) -> None:
        """Takes an entry that can't be read: it names no endpoint to use."""
        known = self._known.get(endpoint_id)
        if known is not None:
            known.is_readable = False

    def remove(self, endpoint_id: str, now_ms: int, after_outage: bool) -> bool:
        """Takes a deletion; returns whether the endpoint begins to leave."""
        known = self._known.get(endpoint_id)
        if known is None:
            return False
        if after_outage and not known.is_leaving:
            known.lapse_due_ms = known.lapse_due_ms or now_ms + LAPSE_MS
            return False
        return self._leave(known, now_ms)

    def mark_leaving(
        self, endpoint_id: str, started_ms: int, now_ms: int
    ) -> bool:
        """Takes an engine's own word; returns whether it begins to leave."""
        known = self._known.get(endpoint_id)
        if known is None or known.endpoint.started_ms != started_ms:
            return False
        return self._leave(known, now_ms)

    def all_leaving(self) -> list[Known]:
        """Returns the endpoints that take no new work and are not forgotten."""
        return [known for known in self._known.values() if known.is_leaving]

    def all_taking_work(self) -> list[Known]:
        """Returns the endpoints of all services that take new requests."""
        return [known for known in self._known.values() if known.takes_work]

    def expire(self, now_ms: int) -> list[Known]:
        """Returns the endpoints whose lapsed entries did not come back."""
        due = [
            known
            for known in self._known.values()
            if known.lapse_due_ms and now_ms >= known.lapse_due_ms
        ]
        for known in due:
            known.lapse_due_ms = 0
            self._leave(known, now_ms)
        old = [
            name
            for name, known in self._known.items()
            if known.is_leaving and now_ms - known.left_ms > KEEP_GONE_MS
        ]
        for name in old:
            del self._known[name]
        return due

    def _leave(self, known: Known, now_ms: int) -> bool:
        if known.is_leaving:
            return False
        known.is_leaving = True
        known.left_ms = now_ms
        return True
