"""Knows the software versions that may have begun streams which still run.

Pure code. It handles gateways that are all killed while endpoints of several
versions serve, or when those of a version have just left. The endpoints that
are there afterwards don't show where a stream began.
"""

from collections.abc import Iterable

import attrs

from rhubarbwinch.gateway.streamorigins import RETENTION_MS


@attrs.frozen
class ServiceVersion:
    """A software version of a service's endpoints."""

    service: str
    version: str


class ServiceVersions:
    """The versions that this gateway has seen, and those recorded in the store.

    A record outlives the gateways that have seen its version. It is deleted
    when the version has had no endpoint for as long as origins of streams are
    kept.
    """

    def __init__(self) -> None:
        self._seen_ms: dict[ServiceVersion, int] = {}
        self._revisions: dict[ServiceVersion, int] = {}

    def of_service(self, service: str) -> set[str]:
        """Returns the versions that may have begun a stream of a service."""
        return {
            known.version
            for known in (*self._seen_ms, *self._revisions)
            if known.service == service
        }

    def see(self, versions: Iterable[ServiceVersion], now_ms: int) -> None:
        """Records that endpoints of these versions serve."""
        for version in versions:
            self._seen_ms[version] = now_ms

    def apply_record(
        self, version: ServiceVersion, revision: int, now_ms: int
    ) -> None:
        """Applies a record of the store.

        Its version may have had endpoints until now.
        """
        self._revisions[version] = revision
        self._seen_ms.setdefault(version, now_ms)

    def apply_deletion(
        self, version: ServiceVersion, may_be_restored: bool
    ) -> None:
        """Applies the deletion of a record.

        Args:
            version: The version.
            may_be_restored: Whether the record may be missing because the store
                is back from an older copy.
        """
        self._revisions.pop(version, None)
        if not may_be_restored:
            # Another gateway has seen no endpoint of it for the retention time.
            self._seen_ms.pop(version, None)

    def missing(self) -> list[ServiceVersion]:
        """Returns the versions without a record."""
        return [v for v in self._seen_ms if v not in self._revisions]

    def outdated(self, now_ms: int) -> list[tuple[ServiceVersion, int]]:
        """Returns the records to delete, with their revisions.

        Versions without a record are dropped.
        """
        old = [
            version
            for version, seen_ms in self._seen_ms.items()
            if now_ms - seen_ms > RETENTION_MS
        ]
        for version in old:
            if version not in self._revisions:
                del self._seen_ms[version]
        return [(v, self._revisions[v]) for v in old if v in self._revisions]
