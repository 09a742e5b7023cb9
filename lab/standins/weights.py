"""A stand-in for the weight store, which limits the reads per minute."""

import anyio
import orjson

from lab.standins.serve import MAX_BODY_BYTES, make_parser, serve
from rhubarbwinch.http.httpapi import App, Request, Responder
from rhubarbwinch.shared.clock import Clock, SystemClock

MINUTE_MS = 60_000


class WeightStore:
    """The HTTP interface of the weight store.

    Args:
        clock: The source of time.
        reads_per_minute: Reads beyond this limit are refused with status 429.
    """

    def __init__(self, clock: Clock, reads_per_minute: int) -> None:
        self._clock = clock
        self._reads_per_minute = reads_per_minute
        self._read_times: list[int] = []
        self._refused_count = 0

    def app(self) -> App:
        """Returns the ASGI application."""
        app = App(MAX_BODY_BYTES)
        app.route("GET", "/weights/", self._read)
        app.route("GET", "/counts", self._show_counts)
        return app

    async def _read(self, _: Request, responder: Responder) -> None:
        now = self._clock.now()
        self._read_times = [t for t in self._read_times if now - t < MINUTE_MS]
        if len(self._read_times) >= self._reads_per_minute:
            self._refused_count += 1
            await responder.send_json(b"{}", 429)
            return
        self._read_times.append(now)
        await responder.send_json(b"{}")

    async def _show_counts(self, _: Request, responder: Responder) -> None:
        data = {"reads": len(self._read_times), "refused": self._refused_count}
        await responder.send_json(orjson.dumps(data))


def main() -> None:
    """Runs the stand-in."""
    options_parser = make_parser("Weight store")
    options_parser.add_argument("--reads-per-minute", type=int, default=60)
    options = options_parser.parse_args()
    store = WeightStore(SystemClock(), options.reads_per_minute)
    anyio.run(serve, store.app(), options.listen)


if __name__ == "__main__":
    main()
