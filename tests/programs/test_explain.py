"""Tests of the explanation of one request from the logs of all gateways."""

import unittest

import orjson

from rhubarbwinch.programs.explain import parse, select_events


def _line(second, process, name, **fields):
    event = {
        "time": f"2026-01-01T00:00:{second:06.3f}+00:00",
        "level": "info",
        "event": 1,
        "name": name,
        "process": process,
        "fields": fields,
    }
    return orjson.dumps(event) + b"\n"


LINES = [
    _line(12.5, "g1", "stream-broken", request="q1", events=3),
    _line(10.0, "g1", "placed", request="q1", endpoint="e1"),
    _line(9.0, "g1", "store-down", error="no answer"),
    _line(1.0, "g1", "store-up", down_ms=3),
    _line(12.0, "g1", "endpoint-changed", endpoint="e1", state="removed"),
    _line(12.0, "g1", "endpoint-changed", endpoint="e2", state="removed"),
    _line(12.0, "g2", "endpoint-changed", endpoint="e1", state="removed"),
    _line(11.0, "g1", "answered", request="q2", status=200),
    b"not a line of ours\n",
    b'{"time": "broken\n',
]


class ExplainTest(unittest.TestCase):
    """Events given in any order."""

    def _names(self, request):
        return [str(line) for line in select_events(parse(LINES), request)]

    def test_events_are_printed_in_order_with_related_state_events(self):
        self.assertEqual(
            self._names("q1"),
            [
                "00:00:09.000 g1 store-down: error=no answer",
                "00:00:10.000 g1 placed: endpoint=e1",
                "00:00:12.000 g1 endpoint-changed: endpoint=e1 state=removed",
                "00:00:12.500 g1 stream-broken: events=3",
            ],
        )

    def test_an_unknown_request_has_no_events(self):
        self.assertEqual(self._names("q9"), [])
