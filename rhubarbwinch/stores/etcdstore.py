"""Implements the store interface for etcd v3 through its JSON gateway."""

import base64
from collections.abc import AsyncIterator
from typing import Any

import httpx
import orjson

from rhubarbwinch.shared.exceptions import StoreUnavailable, StoreUncertain
from rhubarbwinch.stores.store import (
    STORES,
    Change,
    KeyValue,
    Listing,
    SwapResult,
)

JSON = dict[str, Any]

# The server sends progress messages on an idle watch. A watch that receives no
# byte for this time counts as disconnected.
WATCH_READ_TIMEOUT_S = 15.0


def _b64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _encode_key(key: str) -> str:
    return _b64(key.encode())


def _range_end(prefix: str) -> str:
    """Returns the first key after all that start with `prefix`, encoded."""
    data = bytearray(prefix.encode())
    data[-1] += 1
    return _b64(bytes(data))


def _parse_entry(kv: JSON) -> KeyValue:
    return KeyValue(
        base64.b64decode(kv["key"]).decode(),
        base64.b64decode(kv.get("value", "")),
        int(kv["mod_revision"]),
    )


def _parse_change(event: JSON) -> Change:
    kv = event["kv"]
    key = base64.b64decode(kv["key"]).decode()
    revision = int(kv["mod_revision"])
    if event.get("type") == "DELETE":
        return Change(key, revision, None)
    return Change(key, revision, _parse_entry(kv))


@STORES.register("etcd")
class EtcdStore:
    """An etcd store, accessed over HTTP.

    Args:
        address: `a.b.c.d:port` of the JSON gateway.
        timeout_ms: The timeout of each call.
    """

    def __init__(self, address: str, timeout_ms: int) -> None:
        self._timeout_s = timeout_ms / 1000
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}", timeout=self._timeout_s
        )

    async def get(self, key: str) -> KeyValue | None:
        """Returns the entry of `key`, or None."""
        response = await self._read("/v3/kv/range", {"key": _encode_key(key)})
        kvs = response.get("kvs", [])
        return _parse_entry(kvs[0]) if kvs else None

    async def scan(self, prefix: str) -> Listing:
        """Returns all entries whose keys start with `prefix`, by key."""
        body = {
            "key": _encode_key(prefix),
            "range_end": _range_end(prefix),
            "sort_target": "KEY",
            "sort_order": "ASCEND",
        }
        response = await self._read("/v3/kv/range", body)
        entries = [_parse_entry(kv) for kv in response.get("kvs", [])]
        return Listing(entries, int(response["header"]["revision"]))

    async def swap(
        self, key: str, expected: int, value: bytes, lease: int = 0
    ) -> SwapResult:
        """Writes `value` if the key's revision is `expected` (0: no key)."""
        put = {
            "key": _encode_key(key),
            "value": _b64(value),
            "lease": str(lease),
        }
        return await self._txn(key, expected, {"request_put": put})

    async def delete(self, key: str, expected: int) -> SwapResult:
        """Deletes the key if its revision is `expected`."""
        delete = {"request_delete_range": {"key": _encode_key(key)}}
        return await self._txn(key, expected, delete)

    async def grant_lease(self, ttl_ms: int) -> int:
        """Returns the id of a new lease.

        etcd leases last whole seconds, so `ttl_ms` is rounded up.
        """
        body = {"TTL": str(max(1, -(-ttl_ms // 1000))), "ID": "0"}
        response = await self._write("/v3/lease/grant", body)
        return int(response["ID"])

    async def renew_lease(self, lease: int) -> int:
        """Renews a lease; returns its remaining ms, or 0 if it has ended."""
        response = await self._read("/v3/lease/keepalive", {"ID": str(lease)})
        return int(response["result"].get("TTL", 0)) * 1000

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease; the keys under it are deleted."""
        await self._write("/v3/lease/revoke", {"ID": str(lease)})

    async def watch(self, prefix: str, after: int) -> AsyncIterator[Change]:
        """Yields every change under `prefix` after the revision `after`."""
        create = {
            "key": _encode_key(prefix),
            "range_end": _range_end(prefix),
            "start_revision": str(after + 1),
            "progress_notify": True,
        }
        timeout = httpx.Timeout(self._timeout_s, read=WATCH_READ_TIMEOUT_S)
        try:
            async with self._client.stream(
                "POST",
                "/v3/watch",
                json={"create_request": create},
                timeout=timeout,
            ) as response:
                async for line in response.aiter_lines():
                    for event in self._parse_watch_line(line):
                        yield _parse_change(event)
        except httpx.HTTPError as error:
            raise StoreUnavailable(f"watch: {error!r}") from error
        raise StoreUnavailable("the watch ended")

    async def close(self) -> None:
        """Closes the connections."""
        await self._client.aclose()

    def _parse_watch_line(self, line: str) -> list[JSON]:
        if not line:
            return []
        result = orjson.loads(line).get("result", {})
        if result.get("canceled"):
            raise StoreUnavailable("the store cancelled the watch")
        return result.get("events", [])

    async def _txn(self, key: str, expected: int, success: JSON) -> SwapResult:
        compare = {
            "key": _encode_key(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(expected),
        }
        body = {
            "compare": [compare],
            "success": [success],
            "failure": [{"request_range": {"key": _encode_key(key)}}],
        }
        response = await self._write("/v3/kv/txn", body)
        revision = int(response["header"]["revision"])
        if response.get("succeeded"):
            return SwapResult(True, revision)
        found = response["responses"][0]["response_range"].get("kvs", [])
        current = _parse_entry(found[0]) if found else None
        return SwapResult(False, current.revision if current else 0, current)

    async def _read(self, path: str, body: JSON) -> JSON:
        try:
            return await self._write(path, body)
        except StoreUncertain as error:
            raise StoreUnavailable(str(error)) from error

    async def _write(self, path: str, body: JSON) -> JSON:
        try:
            response = await self._client.post(path, json=body)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise StoreUnavailable(f"{path}: {error!r}") from error
        except httpx.HTTPError as error:
            raise StoreUncertain(f"{path}: {error!r}") from error
        if response.status_code != httpx.codes.OK:
            # The gateway also responds with 503 to a write whose outcome it
            # does not know.
            raise StoreUncertain(f"{path}: status {response.status_code}")
        return orjson.loads(response.content)
