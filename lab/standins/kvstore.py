"""A stand-in for the key-value store: the etcd v3 JSON API over MemoryStore.

`POST /faults` with `{"down": ..., "delay_ms": ..., "lose_answers": ...}` sets
the faults.
"""

import base64
from typing import Any

import anyio
import orjson

from lab.standins.serve import MAX_BODY_BYTES, make_parser, serve
from rhubarbwinch.http.httpapi import App, Request, Responder
from rhubarbwinch.shared.clock import SystemClock
from rhubarbwinch.shared.exceptions import StoreError, StoreUncertain
from rhubarbwinch.stores.memstore import MemoryStore
from rhubarbwinch.stores.store import KeyValue

JSON = dict[str, Any]


def _decode_text(value: str) -> str:
    return base64.b64decode(value).decode()


def _encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _format_entry(entry: KeyValue) -> JSON:
    return {
        "key": _encode_base64(entry.key.encode()),
        "value": _encode_base64(entry.value),
        "mod_revision": str(entry.revision),
    }


class EtcdServer:
    """The HTTP interface of the store."""

    def __init__(self) -> None:
        self._store = MemoryStore(SystemClock())
        self._delay_ms = 0
        self._counts: dict[str, int] = {}

    def app(self) -> App:
        """Returns the ASGI application."""
        app = App(MAX_BODY_BYTES)
        app.route("POST", "/v3/kv/range", self._range)
        app.route("POST", "/v3/kv/txn", self._txn)
        app.route("POST", "/v3/lease/grant", self._grant)
        app.route("POST", "/v3/lease/keepalive", self._renew)
        app.route("POST", "/v3/lease/revoke", self._revoke)
        app.route("POST", "/v3/watch", self._watch)
        app.route("POST", "/faults", self._set_faults)
        app.route("GET", "/counts", self._show_counts)
        return app

    async def _receive(self, request: Request) -> JSON:
        self._counts[request.path] = self._counts.get(request.path, 0) + 1
        if self._delay_ms:
            await anyio.sleep(self._delay_ms / 1000)
        return orjson.loads(request.body)

    def _header(self) -> JSON:
        return {"revision": str(self._store.revision)}

    async def _range(self, request: Request, responder: Responder) -> None:
        body = await self._receive(request)
        try:
            kvs = await self._read_range(body)
        except StoreError as error:
            await responder.send_json(orjson.dumps({"error": str(error)}), 503)
            return
        response = {
            "header": self._header(),
            "kvs": kvs,
            "count": str(len(kvs)),
        }
        await responder.send_json(orjson.dumps(response))

    async def _read_range(self, body: JSON) -> list[JSON]:
        key = _decode_text(body["key"])
        if "range_end" in body:
            # Clients only request whole prefixes, so range_end is implied.
            listing = await self._store.scan(key)
            return [_format_entry(entry) for entry in listing.entries]
        entry = await self._store.get(key)
        return [_format_entry(entry)] if entry else []

    async def _txn(self, request: Request, responder: Responder) -> None:
        body = await self._receive(request)
        compare, success = body["compare"][0], body["success"][0]
        key, expected = (
            _decode_text(compare["key"]),
            int(compare["mod_revision"]),
        )
        try:
            if "request_put" in success:
                put = success["request_put"]
                swap = await self._store.swap(
                    key,
                    expected,
                    base64.b64decode(put.get("value", "")),
                    int(put.get("lease", 0)),
                )
            else:
                swap = await self._store.delete(key, expected)
        except StoreUncertain:
            # No response, so that the caller times out with unknown outcome.
            await anyio.sleep_forever()
        except StoreError as error:
            await responder.send_json(orjson.dumps({"error": str(error)}), 503)
            return
        response: JSON = {"header": self._header(), "succeeded": swap.succeeded}
        if not swap.succeeded:
            kvs = [_format_entry(swap.current)] if swap.current else []
            response["responses"] = [{"response_range": {"kvs": kvs}}]
        await responder.send_json(orjson.dumps(response))

    async def _grant(self, request: Request, responder: Responder) -> None:
        body = await self._receive(request)
        try:
            lease = await self._store.grant_lease(int(body["TTL"]) * 1000)
        except StoreError as error:
            await responder.send_json(orjson.dumps({"error": str(error)}), 503)
            return
        response = {"ID": str(lease), "TTL": body["TTL"]}
        await responder.send_json(orjson.dumps(response))

    async def _renew(self, request: Request, responder: Responder) -> None:
        body = await self._receive(request)
        try:
            remaining_ms = await self._store.renew_lease(int(body["ID"]))
        except StoreError as error:
            await responder.send_json(orjson.dumps({"error": str(error)}), 503)
            return
        response = {
            "result": {"ID": body["ID"], "TTL": str(remaining_ms // 1000)}
        }
        await responder.send_json(orjson.dumps(response))

    async def _revoke(self, request: Request, responder: Responder) -> None:
        body = await self._receive(request)
        try:
            await self._store.revoke_lease(int(body["ID"]))
        except StoreError as error:
            await responder.send_json(orjson.dumps({"error": str(error)}), 503)
            return
        await responder.send_json(orjson.dumps({"header": self._header()}))

    async def _watch(self, request: Request, responder: Responder) -> None:
        body = await self._receive(request)
        create = body["create_request"]
        after = int(create.get("start_revision", 1)) - 1
        await responder.start(200, [(b"content-type", b"application/json")])
        created = {"result": {"created": True, "header": self._header()}}
        await responder.write(orjson.dumps(created) + b"\n")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_progress, responder)
            try:
                prefix = _decode_text(create["key"])
                async for change in self._store.watch(prefix, after):
                    if change.entry is None:
                        kv = {
                            "key": _encode_base64(change.key.encode()),
                            "mod_revision": str(change.revision),
                        }
                        event = {"type": "DELETE", "kv": kv}
                    else:
                        event = {
                            "type": "PUT",
                            "kv": _format_entry(change.entry),
                        }
                    result = {"header": self._header(), "events": [event]}
                    line = orjson.dumps({"result": result}) + b"\n"
                    await responder.write(line)
            except StoreError:
                await responder.write(b"", more=False)
            tasks.cancel_scope.cancel()

    async def _send_progress(self, responder: Responder) -> None:
        while True:
            await anyio.sleep(5)
            self._store.expire_leases()
            line = orjson.dumps({"result": {"header": self._header()}})
            await responder.write(line + b"\n")

    async def _set_faults(self, request: Request, responder: Responder) -> None:
        body = orjson.loads(request.body)
        faults = self._store.faults
        faults.down = body.get("down", faults.down)
        faults.lost_responses = body.get("lose_answers", faults.lost_responses)
        self._delay_ms = body.get("delay_ms", self._delay_ms)
        self._store.notify_watches()
        await responder.send_json(b"{}")

    async def _show_counts(self, _: Request, responder: Responder) -> None:
        await responder.send_json(orjson.dumps(self._counts))


def main() -> None:
    """Runs the stand-in."""
    options = make_parser("Key-value store").parse_args()
    anyio.run(serve, EtcdServer().app(), options.listen)


if __name__ == "__main__":
    main()
