"""Defines the statsd metrics, from which docs/metrics.md is generated."""

import attrs
import statsd

from rhubarbwinch.shared import netaddress

PREFIX = "rhubarbwinch"


@attrs.frozen
class Metric:
    """The name, statsd type and description of a metric."""

    name: str
    kind: str
    meaning: str


_all: dict[str, Metric] = {}


def define(name: str, kind: str, meaning: str) -> str:
    """Adds a metric to the catalogue and returns its name."""
    _all[name] = Metric(name, kind, meaning)
    return name


def catalogue() -> list[Metric]:
    """Returns every metric, ordered by name."""
    return [_all[name] for name in sorted(_all)]


REQUESTS = define("requests", "counter", "Authenticated caller requests.")
FAILURES = define("failures", "counter", "Requests that ended in a failure.")
FIRST_TOKEN = define("first_token", "timer", "Time to the first token, in ms.")
OPEN_STREAMS = define("open_streams", "gauge", "Streams open at an entry.")
RESUMES = define("resumes", "counter", "Streams resumed at their engine.")
PERMITS = define("permits", "counter", "Permits that a broker granted.")
REFUSALS = define("refusals", "counter", "Permits that a broker refused.")
QUEUED = define("queued", "gauge", "Requests that wait for a permit.")
YIELDS = define(
    "yields",
    "counter",
    "Streams whose priority was lowered to free KV cache memory.",
)
GENERATION = define(
    "generation", "gauge", "The active configuration generation."
)
LATE_ANSWERS = define(
    "late_answers", "counter", "Replies whose call had been abandoned."
)


class Metrics:
    """Sends metrics to a statsd server.

    Args:
        address: `a.b.c.d:port`; empty to send no metrics.
        role: The program's role, a prefix of each metric's name.
    """

    def __init__(self, address: str, role: str) -> None:
        self._client = None
        if address:
            host, port = netaddress.parse_address(address)
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
        """Records a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(name, ms)
