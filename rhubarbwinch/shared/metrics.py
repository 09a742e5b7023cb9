"""Metrics by statsd; docs/metrics.md is their catalogue."""

import attrs
import statsd

from rhubarbwinch.shared import misc

PREFIX = "rhubarbwinch"


@attrs.frozen
class Metric:
    """A metric's name, its statsd type and its meaning."""

    name: str
    kind: str
    meaning: str


_all: dict[str, Metric] = {}


def define(name: str, kind: str, meaning: str) -> str:
    """Adds a metric to the catalogue and returns its name."""
    _all[name] = Metric(name, kind, meaning)
    return name


def catalogue() -> list[Metric]:
    """Returns every metric, by name."""
    return [_all[name] for name in sorted(_all)]


REQUESTS = define("requests", "counter", "Requests that callers made.")
FAILURES = define("failures", "counter", "Requests that ended in a failure.")
FIRST_TOKEN = define("first_token", "timer", "Time to the first token, in ms.")
OPEN_STREAMS = define("open_streams", "gauge", "Streams open at an entry.")
RESUMES = define("resumes", "counter", "Streams resumed at their engine.")
PERMITS = define("permits", "counter", "Permits that a broker granted.")
REFUSALS = define("refusals", "counter", "Permits that a broker refused.")
QUEUED = define("queued", "gauge", "Requests that wait for a permit.")
YIELDS = define(
    "yields", "counter", "Streams whose priority was lowered to free memory."
)
GENERATION = define(
    "generation", "gauge", "The configuration generation in force."
)
LATE_ANSWERS = define(
    "late_answers", "counter", "Answers whose call had been given up."
)


class Metrics:
    """Sends metrics to a statsd server, or nowhere without an address.

    Args:
        address: `a.b.c.d:port`, or empty.
        role: The program's role; it stands before each name.
    """

    def __init__(self, address: str, role: str) -> None:
        self._client = None
        if address:
            host, port = misc.split_address(address)
            self._client = statsd.StatsClient(host, port, f"{PREFIX}.{role}")

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, ms: float) -> None:
        """Adds a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(name, ms)
