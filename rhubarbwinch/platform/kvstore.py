"""The client of the platform's key-value store, as a `store.Store`.

The platform's revisions are translated into positions, with the era that each
response names.
"""

import base64
import binascii
from collections.abc import AsyncIterator
from typing import Any

import httpx
import orjson

from rhubarbwinch.http.transport import Transport, TransportOptions
from rhubarbwinch.shared.exceptions import (
    StoreCompacted,
    StoreError,
    StoreUnavailable,
    StoreUncertain,
)
from rhubarbwinch.stores import positions
from rhubarbwinch.stores.store import (
    Change,
    ChangeBatch,
    KeyValue,
    Listing,
    SwapResult,
)

JSON = dict[str, Any]

# Rises by one when the store is restored from a copy.
ERA_HEADER = "Store-Era"
# How long the server waits for an event before it responds with none.
WATCH_WAIT_MS = 1_000
# A connection on which the store acknowledges no data for this time is closed.
ACK_TIMEOUT_MS = 2_000
_PRECONDITION_FAILED = httpx.codes.PRECONDITION_FAILED
# Statuses which mean that the store did nothing.
_NO_EFFECT_STATUSES = (
    httpx.codes.TOO_MANY_REQUESTS,
    httpx.codes.SERVICE_UNAVAILABLE,
)


def _era(response: httpx.Response) -> int:
    """Returns the era that a response names, 0 if it names none."""
    text = response.headers.get(ERA_HEADER, "")
    return int(text) if text.isascii() and text.isdigit() else 0


def _decode_entry(item: JSON, era: int) -> KeyValue:
    """Decodes an item.

    Raises:
        ValueError: The value is not base64.
    """
    value = base64.b64decode(item["value"], validate=True)
    return KeyValue(
        item["key"], value, positions.position(era, int(item["revision"]))
    )


def _decode_change(event: JSON, era: int) -> Change:
    key, revision = event["key"], int(event["revision"])
    if event.get("tombstone"):
        return Change(key, positions.position(era, revision), None)
    entry = _decode_entry(event, era)
    return Change(key, entry.revision, entry)


class PlatformStore:
    """A store that is accessed over HTTP/1.1 with JSON bodies.

    Args:
        address: `a.b.c.d:port`.
        timeout_ms: The timeout of each call.
    """

    def __init__(self, address: str, timeout_ms: int) -> None:
        self._timeout_s = timeout_ms / 1000
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}",
            timeout=self._timeout_s,
            transport=Transport(TransportOptions(dead_peer_ms=ACK_TIMEOUT_MS)),
        )

    async def get(self, key: str) -> KeyValue | None:
        """Returns the entry of `key`, or None."""
        response = await self._send("GET", "/kv-key", params={"key": key})
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        era = _era(response)
        return _parse(response, lambda reply: _decode_entry(reply, era))

    async def scan(self, prefix: str) -> Listing:
        """Returns all entries whose keys start with `prefix`, by key.

        The pages are read at different revisions. The listing gets the revision
        of the first page, so a watch from there misses no change.

        Raises:
            StoreUnavailable: The store did not respond, or it was restored
                between two pages.
        """
        entries: list[KeyValue] = []
        revision = 0
        params = {"prefix": prefix}
        while True:
            response = await self._send("GET", "/kv-range", params=params)
            page, era = _parse(response, dict), _era(response)
            if revision and era != positions.era_of(revision):
                raise StoreUnavailable("the store was restored during a scan")
            entries += _decode_entries(page["items"], era)
            revision = revision or positions.position(era, int(page["at"]))
            if not page.get("has_more") or not page["items"]:
                return Listing(entries, revision)
            params = {"prefix": prefix, "after": page["items"][-1]["key"]}

    async def swap(
        self, key: str, expected: int, value: bytes, lease: int = 0
    ) -> SwapResult:
        """Writes `value` if the key's revision is `expected` (0: absent)."""
        write = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "lease": lease,
        }
        return await self._transact(key, expected, [write], [])

    async def delete(self, key: str, expected: int) -> SwapResult:
        """Deletes the key if its revision is `expected`."""
        return await self._transact(key, expected, [], [key])

    async def grant_lease(self, ttl_ms: int) -> int:
        """Returns the id of a new lease."""
        body = {"ttl_ms": ttl_ms}
        response = await self._send("POST", "/kv-lease", content=body)
        return _parse(response, lambda reply: int(reply["lease"]))

    async def renew_lease(self, lease: int) -> int:
        """Renews a lease; returns its remaining milliseconds, 0 if expired."""
        response = await self._send("POST", f"/kv-keep/{lease}", content={})
        if response.status_code == httpx.codes.NOT_FOUND:
            return 0
        return _parse(response, lambda reply: int(reply["ttl_ms"]))

    async def revoke_lease(self, lease: int) -> None:
        """Revokes a lease; the store deletes the keys attached to it."""
        await self._send("DELETE", f"/kv-lease-end/{lease}")

    async def poll(self, prefix: str, after: int, wait_ms: int) -> ChangeBatch:
        """Returns the changes under `prefix` after a revision.

        Args:
            prefix: The keys to watch.
            after: The revision after which changes are returned.
            wait_ms: How long the store waits for the first change.

        Raises:
            StoreCompacted: The store no longer has these changes, or was
                restored after that revision.
            StoreUnavailable: The store did not respond.
        """
        params = {
            "prefix": prefix,
            "after": str(positions.revision_of(after)),
            "wait_ms": str(wait_ms),
        }
        response = await self._send(
            "GET",
            "/kv-watch",
            params=params,
            timeout_s=self._timeout_s + wait_ms / 1000,
        )
        if response.status_code == httpx.codes.GONE:
            raise StoreCompacted(
                f"the changes after revision {after} were compacted"
            )
        reply, era = _parse(response, dict), _era(response)
        if after and era != positions.era_of(after):
            raise StoreCompacted(f"era {era} lacks the changes after {after}")
        changes = [
            change
            for event in reply["events"]
            if (change := _decode_change_or_none(event, era)) is not None
        ]
        return ChangeBatch(
            after, positions.position(era, int(reply["at"])), changes
        )

    async def watch(self, prefix: str, after: int) -> AsyncIterator[Change]:
        """Yields every change under `prefix` after the revision `after`."""
        while True:
            batch = await self.poll(prefix, after, WATCH_WAIT_MS)
            for change in batch.changes:
                yield change
            after = batch.revision

    async def close(self) -> None:
        """Closes the connections."""
        await self._client.aclose()

    async def _transact(
        self, key: str, expected: int, writes: list[JSON], deletes: list[str]
    ) -> SwapResult:
        body = {
            "expected_rev": [
                {"key": key, "revision": positions.revision_of(expected)}
            ],
            "writes": writes,
            "deletes": deletes,
        }
        response = await self._send(
            "POST", "/kv-txn", content=body, is_write=True
        )
        reply = _parse(response, dict, accepted_status=_PRECONDITION_FAILED)
        era = _era(response)
        if response.status_code == httpx.codes.OK:
            revision = positions.position(era, int(reply["revision"]))
            return SwapResult(True, revision)
        # An absent key has the revision 0.
        rows = [row for row in reply.get("items", []) if row.get("revision")]
        current = _decode_entry(rows[0], era) if rows else None
        return SwapResult(False, current.revision if current else 0, current)

    async def _send(
        self,
        method: str,
        path: str,
        params: dict[str, str] | None = None,
        content: JSON | None = None,
        timeout_s: float | None = None,
        is_write: bool = False,
    ) -> httpx.Response:
        """Calls the store.

        Raises:
            StoreUnavailable: The call had no effect, or it was a read.
            StoreUncertain: A write may have taken effect.
        """
        error_type = StoreUncertain if is_write else StoreUnavailable
        timeout = httpx.Timeout(
            timeout_s or self._timeout_s, connect=self._timeout_s
        )
        try:
            response = await self._client.request(
                method,
                path,
                params=params,
                content=None if content is None else orjson.dumps(content),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise StoreUnavailable(f"{path}: {error!r}") from error
        except httpx.HTTPError as error:
            raise error_type(f"{path}: {error!r}") from error
        if response.status_code in _NO_EFFECT_STATUSES:
            raise StoreUnavailable(f"{path}: status {response.status_code}")
        return response


def _parse(
    response: httpx.Response, build: Any, accepted_status: int = httpx.codes.OK
) -> Any:
    """Decodes the JSON body of a response with `build`.

    Args:
        response: The response.
        build: Converts the decoded JSON.
        accepted_status: A status that is accepted besides 200.

    Raises:
        StoreError: The response has another status or format.
    """
    path = response.request.url.path
    if response.status_code not in (httpx.codes.OK, accepted_status):
        raise StoreUnavailable(f"{path}: status {response.status_code}")
    try:
        return build(orjson.loads(response.content))
    except (KeyError, TypeError, ValueError) as error:
        raise StoreError(f"{path}: malformed response: {error!r}") from error


def _decode_entries(items: list[JSON], era: int) -> list[KeyValue]:
    """Returns the entries of items; skips those without key or revision."""
    changes = [_decode_change_or_none(item, era) for item in items]
    return [c.entry for c in changes if c is not None and c.entry is not None]


def _decode_change_or_none(event: JSON, era: int) -> Change | None:
    """Decodes an event; None if it has no valid key and revision.

    Other writers may store malformed values. Such an event is returned with an
    empty value, because its key still shows which entry has changed.
    """
    try:
        return _decode_change(event, era)
    except (KeyError, TypeError, ValueError, binascii.Error):
        if not isinstance(event, dict) or not isinstance(event.get("key"), str):
            return None
        revision = event.get("revision")
        if not isinstance(revision, int):
            return None
        at = positions.position(era, revision)
        return Change(event["key"], at, KeyValue(event["key"], b"", at))
