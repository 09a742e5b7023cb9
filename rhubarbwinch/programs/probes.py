"""HTTP liveness and readiness probes, which every daemon has."""

from collections.abc import Callable

import anyio
import attrs
import orjson

from rhubarbwinch.configuration.configreplica import ConfigReplica
from rhubarbwinch.http.httpapi import App, Request, Responder


@attrs.define
class DrainState:
    """The state of a program's drain.

    Attributes:
        started: Whether the drain has begun; the program then accepts no new
            work.
        limit: Set when the drain limit has passed.
        open_count: Returns how many requests are still open.
    """

    started: bool = False
    limit: anyio.Event = attrs.field(factory=anyio.Event)
    open_count: Callable[[], int] = lambda: 0


class Probes:
    """`GET /healthz` and `GET /readyz`.

    Args:
        config: A program without a configuration is not ready.
        drain: A program that is draining is not ready.
    """

    def __init__(self, config: ConfigReplica, drain: DrainState) -> None:
        self._config = config
        self._drain = drain

    def add_to(self, app: App) -> None:
        """Adds the routes."""
        app.route("GET", "/healthz", self._healthz)
        app.route("GET", "/readyz", self._readyz)

    async def _healthz(self, _: Request, responder: Responder) -> None:
        await responder.send_json(b'{"alive":true}')

    async def _readyz(self, _: Request, responder: Responder) -> None:
        generation = self._config.snapshot.generation
        ready = generation > 0 and not self._drain.started
        data = {"ready": ready, "generation": generation}
        await responder.send_json(orjson.dumps(data), 200 if ready else 503)
