"""A stand-in for a plain service that answers and logs each call.

A call with the query `delay_ms=N` is answered after N ms.
"""

from typing import Any

import anyio
import orjson

from lab.standins.serve import MAX_BODY_BYTES, make_parser, serve
from rhubarbwinch.http.httpapi import App, Request, Responder


class Service:
    """The HTTP interface of the service."""

    def __init__(self) -> None:
        self._log: list[dict[str, Any]] = []

    def app(self) -> App:
        """Returns the ASGI application."""
        app = App(MAX_BODY_BYTES)
        app.route("GET", "/log", self._show_log)
        app.route("*", "/", self._call)
        return app

    async def _call(self, request: Request, responder: Responder) -> None:
        key = request.headers.get("idempotency-key", "")
        call = {"method": request.method, "path": request.path, "key": key}
        self._log.append(call)
        response = {"number": len(self._log)} | call
        delay = request.query.removeprefix("delay_ms=")
        if delay.isdecimal():
            await anyio.sleep(int(delay) / 1000)
        await responder.send_json(orjson.dumps(response))

    async def _show_log(self, _: Request, responder: Responder) -> None:
        await responder.send_json(orjson.dumps(self._log))


def main() -> None:
    """Runs the stand-in."""
    options = make_parser("Plain service").parse_args()
    anyio.run(serve, Service().app(), options.listen)


if __name__ == "__main__":
    main()
