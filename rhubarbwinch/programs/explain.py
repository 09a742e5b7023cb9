"""Prints the log events that explain one request, from all gateways' logs.

The input is JSON lines of one or several processes, in any order. The output
is the request's events in order of time. Between them are the events of the
same gateways about the store, about other gateways and about the endpoints that
the request used.
"""

import argparse
import datetime
import sys
from collections.abc import Iterable, Sequence
from typing import Any

import attrs
import orjson

from rhubarbwinch.shared.exitstatus import ExitStatus

# Events about a gateway's state and its view of the cluster, which explain its
# decisions on requests.
STATE_EVENTS = frozenset(
    {
        "store-down",
        "store-up",
        "outage-changed",
        "table-in-force",
        "gateway-lost",
        "gateway-changed",
        "draining",
        "drain-limit",
        "stopped",
        "started",
    }
)
# Event fields whose value is an endpoint's name.
ENDPOINT_FIELDS = ("endpoint", "source", "target")
# Events this long before a request are printed too, as they may explain the
# first decision on the request.
CONTEXT_BEFORE_MS = 3_000


@attrs.frozen
class LogEvent:
    """A log event.

    Attributes:
        time: The time as in the log, ISO 8601 in UTC; sorts as a text.
        process: The name of the process that logged the event.
        name: The event's name.
        fields: The event's fields.
    """

    time: str
    process: str
    name: str
    fields: dict[str, Any]

    @property
    def endpoints(self) -> set[str]:
        """The endpoints that the event's fields name."""
        return {
            str(self.fields[name])
            for name in ENDPOINT_FIELDS
            if self.fields.get(name)
        }

    def __str__(self) -> str:
        field_text = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in ("request", "settings")
        )
        time_of_day = self.time.partition("T")[2].partition("+")[0]
        return f"{time_of_day} {self.process} {self.name}: {field_text}"


def parse(lines: Iterable[bytes]) -> list[LogEvent]:
    """Returns the events of JSON lines by time; skips other lines."""
    events = []
    for line in lines:
        start = line.find(b'{"time"')
        if start < 0:
            continue
        try:
            event = orjson.loads(line[start:])
            events.append(
                LogEvent(
                    event["time"],
                    event["process"],
                    event["name"],
                    event["fields"],
                )
            )
        except (orjson.JSONDecodeError, KeyError) as error:
            sys.stderr.write(f"not an event ({error!r}): {line[:80]!r}\n")
    # The sort is stable: events of the same millisecond keep their order.
    return sorted(events, key=lambda line: line.time)


def select_events(lines: list[LogEvent], request: str) -> list[LogEvent]:
    """Returns the events that explain what happened to a request."""
    request_lines = [
        line for line in lines if line.fields.get("request") == request
    ]
    if not request_lines:
        return []
    processes = {line.process for line in request_lines}
    endpoints = set().union(*(line.endpoints for line in request_lines))
    first = _earlier(request_lines[0].time, CONTEXT_BEFORE_MS)
    last = request_lines[-1].time
    return [
        line
        for line in lines
        if line in request_lines
        or (
            first <= line.time <= last
            and line.process in processes
            and "request" not in line.fields
            and (line.name in STATE_EVENTS or line.endpoints & endpoints)
        )
    ]


def _earlier(time: str, ms: int) -> str:
    """Returns the time that is `ms` milliseconds before `time`."""
    moment = datetime.datetime.fromisoformat(time)
    moment -= datetime.timedelta(milliseconds=ms)
    return moment.isoformat(timespec="milliseconds")


def main(argv: Sequence[str] | None = None) -> None:
    """Runs `rhubarbwinch-explain`."""
    parser = argparse.ArgumentParser(
        "rhubarbwinch-explain",
        description="Prints what happened to a request, from logs on "
        "standard input.",
    )
    parser.add_argument("request", help="the id of the request")
    request = parser.parse_args(argv).request
    events = select_events(parse(sys.stdin.buffer), request)
    for line in events:
        print(line)
    if not events:
        sys.stderr.write(f"no line of the request {request}\n")
        sys.exit(ExitStatus.FAILED)
