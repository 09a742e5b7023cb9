"""Keeps records of the software versions of services in the store."""

from collections.abc import Callable
from urllib.parse import quote, unquote

from rhubarbwinch.gateway.decisions.serviceversions import (
    ServiceVersion,
    ServiceVersions,
)
from rhubarbwinch.gateway.fleet import Fleet
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import StoreError
from rhubarbwinch.stores.store import Store

CHECK_MS = 1_000
# Gateways that start together know each other by then, and one of them writes.
START_DELAY_MS = 2_000
# In an outage of the store each call is billed.
MAX_RETRY_MS = 4_000
# The version is in the key.
_VALUE = b"{}"


def record_key(prefix: str, version: ServiceVersion) -> str:
    """Returns the key of a version's record."""
    parts = (
        quote(part, safe="") for part in (version.service, version.version)
    )
    return prefix + "/".join(parts)


def parse_record_key(prefix: str, key: str) -> ServiceVersion:
    """Returns the version whose record has a key."""
    service, _, version = key.removeprefix(prefix).partition("/")
    return ServiceVersion(unquote(service), unquote(version))


class VersionRecorder:
    """Writes and deletes the records for all gateways that it owns.

    Args:
        store: The platform's store.
        clock: The source of time.
        fleet: The known endpoints.
        versions: The known versions.
        prefix: The prefix of the records' keys.
        owns: Returns whether this gateway owns a task, by its key.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        fleet: Fleet,
        versions: ServiceVersions,
        prefix: str,
        owns: Callable[[str], bool],
    ) -> None:
        self._store = store
        self._clock = clock
        self._fleet = fleet
        self._versions = versions
        self._prefix = prefix
        self._owns = owns

    async def run(self) -> None:
        """Updates the records until cancelled."""
        await self._clock.sleep(START_DELAY_MS)
        retry_ms = CHECK_MS
        while True:
            self._versions.see(
                self._fleet.service_versions(), self._clock.now()
            )
            try:
                await self._write_missing()
                await self._delete_outdated()
                retry_ms = CHECK_MS
            except StoreError as error:
                events.VERSION_RECORD_FAILED.log(error=str(error))
                retry_ms = min(MAX_RETRY_MS, 2 * retry_ms)
            await self._clock.sleep(retry_ms)

    async def _write_missing(self) -> None:
        for version in self._versions.missing():
            key = record_key(self._prefix, version)
            if not self._owns(key):
                continue
            swap = await self._store.swap(key, 0, _VALUE)
            self._versions.apply_record(
                version, swap.revision, self._clock.now()
            )
            events.VERSION_RECORDED.log(
                service=version.service,
                version=version.version,
                is_new=swap.succeeded,
            )

    async def _delete_outdated(self) -> None:
        for version, revision in self._versions.outdated(self._clock.now()):
            key = record_key(self._prefix, version)
            if not self._owns(key):
                continue
            swap = await self._store.delete(key, revision)
            if swap.succeeded:
                self._versions.apply_deletion(version, False)
