"""A stand-in for the platform's VM list, which can lag, hang or be wrong.

`POST /vms` with `{"host": ..., "state": ...}` changes the state of a VM; the
list shows the change after `--lag-ms`. `POST /faults` with `{"silent": true}`
leaves requests for the list unanswered, and with
`{"wrong": {"10.0.0.1": "leaving"}}` makes the list show these states instead of
the true ones.
"""

import time
from typing import Any

import anyio
import attrs
import orjson

from lab.standins.serve import MAX_BODY_BYTES, make_parser, serve
from rhubarbwinch.http.httpapi import App, Request, Responder


@attrs.frozen
class _Change:
    """The new state of a VM and the time when the list shows it."""

    host: str
    state: str
    shown_at: float


class VmListServer:
    """The HTTP interface of the VM list.

    Args:
        lag_ms: The delay until the list shows a change.
    """

    def __init__(self, lag_ms: int) -> None:
        self._lag_s = lag_ms / 1000
        self._changes: list[_Change] = []
        self._overrides: dict[str, str] = {}
        self._silent = False

    def app(self) -> App:
        """Returns the ASGI application."""
        app = App(MAX_BODY_BYTES)
        app.route("GET", "/vms", self._show_vms)
        app.route("POST", "/vms", self._change_vm)
        app.route("POST", "/faults", self._set_faults)
        return app

    async def _show_vms(self, _: Request, responder: Responder) -> None:
        if self._silent:
            await anyio.sleep_forever()
        now = time.monotonic()
        shown = {c.host: c.state for c in self._changes if c.shown_at <= now}
        shown |= self._overrides
        items = [{"host": h, "state": s} for h, s in sorted(shown.items())]
        await responder.send_json(orjson.dumps(items))

    async def _change_vm(self, request: Request, responder: Responder) -> None:
        body: dict[str, Any] = orjson.loads(request.body)
        shown_at = time.monotonic() + self._lag_s
        change = _Change(body["host"], body["state"], shown_at)
        self._changes.append(change)
        await responder.send_json(b"{}")

    async def _set_faults(self, request: Request, responder: Responder) -> None:
        body = orjson.loads(request.body)
        self._silent = body.get("silent", self._silent)
        self._overrides = body.get("wrong", self._overrides)
        await responder.send_json(b"{}")


def main() -> None:
    """Runs the stand-in."""
    options_parser = make_parser("List of VMs")
    options_parser.add_argument("--lag-ms", type=int, default=2000)
    options = options_parser.parse_args()
    server = VmListServer(options.lag_ms)
    anyio.run(serve, server.app(), options.listen)


if __name__ == "__main__":
    main()
