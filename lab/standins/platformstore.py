"""A stand-in for the platform's key-value store, backed by MemoryStore.

It implements the published HTTP interface. `StoreFaults` sets the faults.
"""

import base64
from typing import Any
from urllib.parse import parse_qs

import anyio
import attrs
import orjson

from rhubarbwinch.gateway.edge import EdgeRequest, EdgeResponder, EdgeServer
from rhubarbwinch.gateway.platforminterface import Headers
from rhubarbwinch.shared.clock import Clock, SystemClock
from rhubarbwinch.shared.exceptions import StoreUncertain
from rhubarbwinch.stores.memstore import MemoryStore, StoreCopy
from rhubarbwinch.stores.store import Change, KeyValue, SwapResult

JSON = dict[str, Any]


@attrs.define
class StoreFaults:
    """The faults of the store.

    Attributes:
        status: The status of all responses; 0 for no fault.
        is_hanging: No call gets a response.
        lost_responses: The number of next writes that are applied but get no
            response.
        compacted_revision: Changes up to this revision are compacted.
        page: The maximum number of items on a page.
    """

    status: int = 0
    is_hanging: bool = False
    lost_responses: int = 0
    compacted_revision: int = 0
    page: int = 500


def _format_entry(entry: KeyValue) -> JSON:
    return {
        "key": entry.key,
        "value": base64.b64encode(entry.value).decode(),
        "revision": entry.revision,
        "created": entry.revision,
        "lease": 0,
    }


def _format_change(change: Change) -> JSON:
    if change.entry is None:
        row = {"key": change.key, "revision": change.revision}
        return row | {"tombstone": True}
    return _format_entry(change.entry)


class PlatformStoreServer:
    """The HTTP interface of the store.

    Args:
        address: `a.b.c.d:port` to listen on.
        clock: The clock by which leases expire.
    """

    def __init__(self, address: str, clock: Clock | None = None) -> None:
        self.address = address
        self.memory = MemoryStore(clock or SystemClock())
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self.era = 1
        self._server = EdgeServer(address, self._handle, SystemClock())

    async def run(self) -> None:
        """Serves until cancelled."""
        await self._server.run()

    def restore(self, state: StoreCopy) -> None:
        """Restores the store from a copy; its era rises."""
        self.era += 1
        self.memory.restore(state)

    async def put(self, key: str, value: bytes) -> None:
        """Writes a value, as the operator or an engine does."""
        current = await self.memory.get(key)
        expected = current.revision if current else 0
        await self.memory.swap(key, expected, value)

    async def remove(self, key: str) -> None:
        """Deletes a key, as an expired lease does."""
        current = await self.memory.get(key)
        if current is not None:
            await self.memory.delete(key, current.revision)

    async def _handle(
        self, request: EdgeRequest, responder: EdgeResponder
    ) -> None:
        path, _, query = request.target.decode().partition("?")
        self.calls.append(path)
        if self.faults.is_hanging:
            await anyio.sleep_forever()
        if self.faults.status:
            await responder.send(self.faults.status, self._headers, b"")
            return
        params = {k: v[0] for k, v in parse_qs(query).items()}
        body = orjson.loads(request.body or b"{}")
        status, response = await self._route(path, params, body)
        await responder.send(status, self._headers, orjson.dumps(response))

    @property
    def _headers(self) -> Headers:
        return [(b"Store-Era", str(self.era).encode())]

    async def _route(
        self, path: str, params: dict[str, str], body: JSON
    ) -> tuple[int, JSON]:
        name, _, rest = path.lstrip("/").partition("/")
        if name == "kv-key":
            entry = await self.memory.get(params["key"])
            return (200, _format_entry(entry)) if entry else (404, {})
        if name == "kv-range":
            return await self._range(params)
        if name == "kv-watch":
            return await self._watch(params)
        if name == "kv-txn":
            return await self._apply_transaction(body)
        return await self._handle_lease(name, rest, body)

    async def _handle_lease(
        self, name: str, rest: str, body: JSON
    ) -> tuple[int, JSON]:
        if name == "kv-lease":
            lease = await self.memory.grant_lease(body["ttl_ms"])
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        if name == "kv-keep":
            remaining_ms = await self.memory.renew_lease(int(rest))
            return (
                (200, {"ttl_ms": remaining_ms}) if remaining_ms else (404, {})
            )
        if name != "kv-lease-end":
            return 404, {}
        await self.memory.revoke_lease(int(rest))
        return 200, {}

    async def _range(self, params: dict[str, str]) -> tuple[int, JSON]:
        listing = await self.memory.scan(params.get("prefix", ""))
        after = params.get("after", "")
        entries = [e for e in listing.entries if e.key > after]
        page = entries[: self.faults.page]
        return 200, {
            "items": [_format_entry(entry) for entry in page],
            "has_more": len(entries) > len(page),
            "at": self.memory.revision,
        }

    async def _watch(self, params: dict[str, str]) -> tuple[int, JSON]:
        prefix, after = params.get("prefix", ""), int(params["after"])
        is_known = after <= self.memory.revision
        if after < self.faults.compacted_revision or not is_known:
            return 410, {}
        with anyio.move_on_after(int(params["wait_ms"]) / 1000):
            async for _ in self.memory.watch(prefix, after):
                break
        changes = [
            change
            for change in self.memory.changes
            if change.revision > after and change.key.startswith(prefix)
        ]
        response = [_format_change(change) for change in changes]
        return 200, {"events": response, "at": self.memory.revision}

    async def _apply_transaction(self, body: JSON) -> tuple[int, JSON]:
        """Applies a transaction of one key; the gateway sends no others."""
        row = body["expected_rev"][0]
        key, expected = row["key"], row["revision"]
        if body["deletes"]:
            swap = await self.memory.delete(key, expected)
        else:
            write = body["writes"][0]
            value = base64.b64decode(write["value"])
            swap = await self.memory.swap(
                key, expected, value, write.get("lease", 0)
            )
        if self.faults.lost_responses:
            self.faults.lost_responses -= 1
            raise StoreUncertain("the response is lost")
        return self._format_swap(key, swap)

    def _format_swap(self, key: str, swap: SwapResult) -> tuple[int, JSON]:
        if swap.succeeded:
            return 200, {"revision": swap.revision}
        current = _format_entry(swap.current) if swap.current else {"key": key}
        return 412, {"items": [{"revision": 0} | current]}
