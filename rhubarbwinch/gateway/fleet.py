"""The endpoints that a gateway knows, from the store's entries.

Pure code. It handles engines that leave with or without a notice, entries
whose leases expire during a store outage, and ids or addresses that are
reused.
"""

import attrs

from rhubarbwinch.gateway.decisions.restartedendpoints import GoneStarts
from rhubarbwinch.gateway.decisions.serviceversions import ServiceVersion
from rhubarbwinch.gateway.endpoints import Endpoint, EndpointState
from rhubarbwinch.stores import positions

# Live endpoints renew expired entries within two seconds after the end of a
# store outage. An entry that is still missing after this time belongs to an
# endpoint that is gone.
EXPIRED_ENTRY_GRACE_MS = 2_300
# An endpoint still serves its open requests for a while after its entry was
# removed, so its state is kept for this time.
LEFT_RETENTION_MS = 60_000


@attrs.define
class KnownEndpoint:
    """An endpoint with its known state.

    Attributes:
        endpoint: Its last registration that could be decoded.
        is_leaving: Whether it is shutting down and accepts no new requests.
        leaving_since_ms: When it became known that it leaves; 0 while it stays.
        warmed_up_at_ms: When its warm-up ends.
        expiry_deadline_ms: When the endpoint counts as gone because its entry
            expired in a store outage and was not renewed; 0 if the entry is
            there.
        is_readable: Whether its newest entry could be decoded.
        has_declared_leaving: Whether it has said in a response that it leaves.
        is_evacuated: Whether its data centre is evacuated.
        ready_revision: The store's revision, in any era, of the entry by which
            it was last ready; 0 if it is not known.
        position: The position of its newest entry in the store's history; 0 if
            it is not known.
        is_gone: Whether a response has shown that this start is no longer at
            its address.
        is_superseded: Whether another registration has its address and a later
            start.
    """

    endpoint: Endpoint
    is_leaving: bool = False
    leaving_since_ms: int = 0
    warmed_up_at_ms: int = 0
    expiry_deadline_ms: int = 0
    is_readable: bool = True
    has_declared_leaving: bool = False
    ready_revision: int = 0
    is_evacuated: bool = False
    position: int = 0
    is_gone: bool = False
    is_superseded: bool = False

    @property
    def has_expired(self) -> bool:
        """Whether its entry expired in an outage and may be renewed."""
        return bool(self.expiry_deadline_ms)

    @property
    def is_staying(self) -> bool:
        """Whether the endpoint serves, though maybe no new requests."""
        return (
            not self.is_leaving
            and self.is_readable
            and not self.is_gone
            and not self.is_superseded
        )

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests may be placed at the endpoint."""
        return self.is_staying and not self.is_evacuated


class Fleet:
    """The known endpoints by id."""

    def __init__(self) -> None:
        self._known: dict[str, KnownEndpoint] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._ids_by_address: dict[str, set[str]] = {}
        self._gone = GoneStarts()

    def get(self, endpoint_id: str) -> KnownEndpoint | None:
        """Returns the known state of an endpoint, or None."""
        return self._known.get(endpoint_id)

    def accepting_for_service(self, service: str) -> list[KnownEndpoint]:
        """Returns the endpoints of a service that accept new requests."""
        return [
            known
            for known in self._known.values()
            if known.endpoint.service == service and known.accepts_requests
        ]

    def staying_for_service(self, service: str) -> list[KnownEndpoint]:
        """Returns a service's endpoints, those that are evacuated included."""
        return [
            known
            for known in self._known.values()
            if known.endpoint.service == service and known.is_staying
        ]

    def set_evacuated(self, data_centers: frozenset[str]) -> None:
        """Sets the data centres whose endpoints get no requests."""
        self._evacuated = data_centers
        for known in self._known.values():
            known.is_evacuated = known.endpoint.data_center in data_centers

    def record_warmup(self, endpoint_id: str, ends_ms: int) -> None:
        """Records until when an endpoint says that it is cold."""
        known = self._known.get(endpoint_id)
        if known is not None:
            known.warmed_up_at_ms = ends_ms

    def versions(self, service: str) -> set[str]:
        """Returns the software versions of a service's known endpoints.

        They include endpoints that have left recently.
        """
        return {
            known.endpoint.version
            for known in self._known.values()
            if known.endpoint.service == service
        }

    def service_versions(self) -> set[ServiceVersion]:
        """Returns the software versions of all endpoints that may serve."""
        return {
            ServiceVersion(known.endpoint.service, known.endpoint.version)
            for known in self._known.values()
            if not known.is_leaving
        }

    def apply_registration(
        self, endpoint: Endpoint, now_ms: int, position: int = 0
    ) -> bool:
        """Applies a registration; returns whether its endpoint now leaves.

        Args:
            endpoint: The registration.
            now_ms: The current time.
            position: Its position in the store's history; 0 if not known.
        """
        known = self._known.get(endpoint.id)
        if known is not None and _is_earlier_start(endpoint, known.endpoint):
            return False
        is_new = (
            known is None
            or known.endpoint.incarnation != endpoint.incarnation
            or known.endpoint.address != endpoint.address
        )
        if known is None or is_new:
            if known is not None:
                self._release_address(known.endpoint)
            known = self._known[endpoint.id] = KnownEndpoint(endpoint)
            self._ids_by_address.setdefault(endpoint.address, set()).add(
                endpoint.id
            )
            self._update_superseded(endpoint.address)
        known.endpoint = endpoint
        known.is_evacuated = endpoint.data_center in self._evacuated
        known.position = position
        known.is_gone = self._gone.is_gone(
            endpoint.id, endpoint.started_ms, position
        )
        known.expiry_deadline_ms = 0
        known.is_readable = True
        # A response may have said since that it is cold for longer.
        known.warmed_up_at_ms = max(
            known.warmed_up_at_ms, now_ms + endpoint.warmup_ms
        )
        if endpoint.state is EndpointState.DRAINING:
            return self._start_leaving(known, now_ms)
        revision = positions.revision_of(position)
        # A restored store brings entries back from before the notice.
        is_renewed = not revision or revision != known.ready_revision
        known.ready_revision = revision
        if known.is_leaving and is_renewed and not known.has_declared_leaving:
            # The endpoint was marked as leaving, but its entry was renewed.
            known.is_leaving = False
            known.leaving_since_ms = 0
        return False

    def mark_unreadable(self, endpoint_id: str) -> None:
        """Excludes an endpoint whose newest entry can't be decoded."""
        known = self._known.get(endpoint_id)
        if known is not None:
            known.is_readable = False

    def remove(self, endpoint_id: str, now_ms: int, after_outage: bool) -> bool:
        """Applies a deletion; returns whether the endpoint now leaves."""
        known = self._known.get(endpoint_id)
        if known is None:
            return False
        if after_outage and not known.is_leaving:
            known.expiry_deadline_ms = (
                known.expiry_deadline_ms or now_ms + EXPIRED_ENTRY_GRACE_MS
            )
            return False
        return self._start_leaving(known, now_ms)

    def mark_leaving(
        self,
        endpoint_id: str,
        started_ms: int,
        now_ms: int,
        is_declared: bool = False,
    ) -> bool:
        """Applies an endpoint's own notice; returns whether it now leaves.

        Args:
            endpoint_id: The endpoint's id.
            started_ms: Identifies the start of the endpoint that leaves.
            now_ms: The current time.
            is_declared: Whether a response of the endpoint said so, which a
                renewed registration does not undo.
        """
        known = self._known.get(endpoint_id)
        if known is None or known.endpoint.started_ms != started_ms:
            return False
        known.has_declared_leaving |= is_declared
        return self._start_leaving(known, now_ms)

    def mark_gone(
        self, endpoint_id: str, started_ms: int, position: int, now_ms: int
    ) -> bool:
        """Applies a response or notice that the start of an endpoint is gone.

        Args:
            endpoint_id: The endpoint's id.
            started_ms: Identifies the start that is gone.
            position: The position in the store's history that was reached
                before the response. Later registrations are valid.
            now_ms: The current time.

        Returns:
            Whether the endpoint is now known to be gone and was not before.
        """
        known = self._known.get(endpoint_id)
        revision = positions.revision_of(known.position) if known else 0
        self._gone.mark(endpoint_id, started_ms, position, revision, now_ms)
        if known is None or known.is_gone:
            return False
        known.is_gone = self._gone.is_gone(
            endpoint_id, known.endpoint.started_ms, known.position
        )
        return known.is_gone

    def superseded(self, address: str) -> set[str]:
        """Returns the ids at an address that a later start has taken over."""
        return {
            known.endpoint.id
            for known in self._at_address(address)
            if known.is_superseded
        }

    def all_leaving(self) -> list[KnownEndpoint]:
        """Returns the leaving endpoints whose state is still kept."""
        return [known for known in self._known.values() if known.is_leaving]

    def all_staying(self) -> list[KnownEndpoint]:
        """Returns the endpoints of all services, evacuated ones included."""
        return [known for known in self._known.values() if known.is_staying]

    def expire_endpoints(
        self, now_ms: int, reliable_since_ms: int | None = None
    ) -> list[KnownEndpoint]:
        """Marks endpoints as leaving if their expired entries weren't renewed.

        Endpoints that left longer ago than `LEFT_RETENTION_MS` are dropped.

        Args:
            now_ms: The current time.
            reliable_since_ms: Entries deleted from this time on have not
                expired, so their endpoints leave; None if all may have
                expired.

        Returns:
            The endpoints that now leave.
        """
        due = [
            known
            for known in self._known.values()
            if known.expiry_deadline_ms
            and (
                now_ms >= known.expiry_deadline_ms
                or _is_deleted_since(known, reliable_since_ms)
            )
        ]
        for known in due:
            known.expiry_deadline_ms = 0
            self._start_leaving(known, now_ms)
        outdated = [
            name
            for name, known in self._known.items()
            if known.is_leaving
            and now_ms - known.leaving_since_ms > LEFT_RETENTION_MS
            and not self._supersedes_registered(known)
        ]
        for name in outdated:
            self._release_address(self._known.pop(name).endpoint)
        self._gone.expire(set(self._known), now_ms)
        return due

    def _release_address(self, endpoint: Endpoint) -> None:
        """Handles an endpoint that is no longer registered at its address."""
        ids = self._ids_by_address[endpoint.address]
        ids.discard(endpoint.id)
        self._update_superseded(endpoint.address)
        if not ids:
            del self._ids_by_address[endpoint.address]

    def _update_superseded(self, address: str) -> None:
        """Decides which registrations with an address are valid."""
        sharing = self._at_address(address)
        for known in sharing:
            known.is_superseded = any(
                _is_earlier_start(known.endpoint, other.endpoint)
                for other in sharing
            )

    def _at_address(self, address: str) -> list[KnownEndpoint]:
        return [
            self._known[name] for name in self._ids_by_address.get(address, ())
        ]

    def _supersedes_registered(self, known: KnownEndpoint) -> bool:
        """Returns whether an earlier start would become valid without it."""
        return any(
            not other.is_leaving
            and _is_earlier_start(other.endpoint, known.endpoint)
            for other in self._at_address(known.endpoint.address)
        )

    def _start_leaving(self, known: KnownEndpoint, now_ms: int) -> bool:
        if known.is_leaving:
            return False
        known.is_leaving = True
        known.leaving_since_ms = now_ms
        return True


def _is_earlier_start(endpoint: Endpoint, other: Endpoint) -> bool:
    """Returns whether another registration has its address and began later.

    Registrations without a start can't be compared.
    """
    return (
        endpoint.address == other.address
        and 0 < endpoint.started_ms < other.started_ms
    )


def _is_deleted_since(known: KnownEndpoint, since_ms: int | None) -> bool:
    """Returns whether an expired entry was deleted at a time or later."""
    if since_ms is None:
        return False
    return known.expiry_deadline_ms - EXPIRED_ENTRY_GRACE_MS >= since_ms
