"""Tests of spans and of the trace context's propagation."""

import http.server
import json
import os
import pathlib
import re
import tempfile
import threading
import unittest
from unittest import mock

import httpx
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from rhubarbwinch.shared import tracing
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.verdict import Reason, not_run
from rhubarbwinch.stores.memstore import MemoryStore
from rhubarbwinch.stores.tracedstore import TracedStore
from tests.fleet import AUTHORIZATION, Fleet
from tests.helpers import asynchronous, wait_until

PARENT = f"00-{'12' * 16}-{'34' * 8}-01"
UNSAMPLED = f"00-{'12' * 16}-{'34' * 8}-00"


class TracingTest(unittest.TestCase):
    """Spans while tracing is on and while it is off."""

    def setUp(self):
        self.exporter = InMemorySpanExporter()
        self.addCleanup(tracing.close)

    def _turn_on(self, percent=100):
        tracing.configure_processor(
            SimpleSpanProcessor(self.exporter), "entry-1", percent
        )

    def _spans(self):
        return {span.name: span for span in self.exporter.get_finished_spans()}

    @asynchronous
    async def test_each_hop_is_a_span_of_the_callers_trace(self):
        self._turn_on()
        store = TracedStore(MemoryStore(ManualClock()))
        headers = {}
        with tracing.span("entry", PARENT):
            with tracing.span("permit"):
                passed = tracing.current_traceparent()
            with tracing.span("queue", passed):
                pass
            await store.get("a")
            with tracing.stream_span("endpoint", headers):
                pass
        spans = self._spans()
        self.assertEqual(
            set(spans), {"entry", "permit", "queue", "store", "endpoint"}
        )
        traces = {span.context.trace_id for span in spans.values()}
        self.assertEqual(traces, {int("12" * 16, 16)})
        parents = {
            name: f"{span.parent.span_id:016x}" for name, span in spans.items()
        }
        ids = {
            name: f"{span.context.span_id:016x}" for name, span in spans.items()
        }
        self.assertEqual(parents["entry"], "34" * 8)
        self.assertEqual(parents["queue"], ids["permit"])
        self.assertEqual(parents["store"], ids["entry"])
        self.assertEqual(headers[tracing.HEADER].split("-")[2], ids["endpoint"])

    @asynchronous
    async def test_calls_outside_a_request_make_no_span(self):
        self._turn_on()
        store = TracedStore(MemoryStore(ManualClock()))
        await store.get("a")
        headers = {}
        with tracing.stream_span("endpoint", headers):
            pass
        self.assertEqual((self._spans(), headers), ({}, {}))

    def test_a_failure_is_recorded_with_its_verdict(self):
        self._turn_on()
        with tracing.span("entry"):
            tracing.record_failure(not_run(Reason.QUEUE_FULL, "full"))
        attributes = self._spans()["entry"].attributes
        self.assertEqual(attributes["verdict"], "not-run")
        self.assertEqual(attributes["reason"], "queue-full")

    def test_a_bad_context_begins_a_new_trace(self):
        self._turn_on()
        with tracing.span("entry", "00-zz-1"):
            pass
        self.assertIsNone(self._spans()["entry"].parent)

    def test_an_unsampled_caller_context_is_not_recorded(self):
        self._turn_on()
        with tracing.span("entry", UNSAMPLED):
            self.assertRegex(tracing.current_traceparent(), r"-00$")
        self.assertEqual(self._spans(), {})

    def test_no_trace_begins_here_at_zero_percent(self):
        self._turn_on(percent=0)
        with tracing.span("entry"):
            pass
        self.assertEqual(self._spans(), {})

    def test_the_context_is_propagated_while_tracing_is_off(self):
        headers = {}
        with tracing.span("entry", PARENT):
            self.assertEqual(tracing.current_traceparent(), PARENT)
            with tracing.stream_span("endpoint", headers):
                pass
        self.assertEqual(headers, {tracing.HEADER: PARENT})

    def test_an_invalid_context_is_not_propagated(self):
        for bad in ("", "x" * 20_000, PARENT + "-more", PARENT.upper() + "Z"):
            headers = {}
            with tracing.span("entry", bad):
                with tracing.stream_span("endpoint", headers):
                    pass
            self.assertEqual(headers, {})

    def test_finished_spans_are_log_events(self):
        tracing.configure_processor(
            SimpleSpanProcessor(tracing.LogExporter()), "entry-1"
        )
        with self.assertLogs("absl", "INFO") as logs:
            with tracing.span("entry", PARENT, path="/v1"):
                pass
        text = re.sub(r"span=\w+|start_ms=\d+| ms=[\d.]+", "", logs.output[0])
        self.assertIn("RW0500 span", text)
        self.assertIn(f"trace={'12' * 16}", text)
        self.assertIn(f"parent={'34' * 8} hop=entry", text)
        self.assertIn("path=/v1", text)


class _Collector(http.server.BaseHTTPRequestHandler):
    """An OTLP collector that keeps the exports in `server.received`."""

    def do_POST(self):
        """Receives an export."""
        length = int(self.headers["content-length"])
        kind = self.headers["content-type"]
        self.server.received.append((self.path, kind, self.rfile.read(length)))
        self.send_response(200)
        self.end_headers()

    def log_message(self, *_):
        """Suppresses the server's log lines in the test's output."""


class CollectorTest(unittest.TestCase):
    """The export of spans by OTLP over HTTP."""

    def test_close_exports_the_remaining_spans_to_the_collector(self):
        server = http.server.HTTPServer(("127.0.0.1", 0), _Collector)
        server.received = []
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        try:
            url = f"http://127.0.0.1:{server.server_port}/v1/traces"
            tracing.configure(url, "entry-1")
            with tracing.span("entry", PARENT):
                pass
            tracing.close()
        finally:
            server.shutdown()
            thread.join()
            server.server_close()
        ((path, kind, body),) = server.received
        self.assertEqual((path, kind), ("/v1/traces", "application/x-protobuf"))
        self.assertIn(bytes.fromhex("12" * 16), body)
        self.assertIn(b"entry-1", body)


class ProcessesTest(unittest.TestCase):
    """A request's trace across its processes."""

    def test_a_request_is_one_trace_across_its_processes(self):
        name = self.enterContext(tempfile.TemporaryDirectory())
        logs = pathlib.Path(name)
        variables = {
            "RHUBARBWINCH_TRACES": "log",
            "RHUBARBWINCH_LOG_FORMAT": "json",
        }
        with (
            mock.patch.dict(os.environ, variables),
            Fleet(logs=logs) as fleet,
        ):
            answer = httpx.post(
                f"http://{fleet.entries[0]}/v1/completions",
                json={"model": "chat", "prompt": "len=3"},
                headers=AUTHORIZATION | {"traceparent": PARENT},
            )
            self.assertEqual(answer.status_code, 200)
            wanted = {
                ("entry-0", "entry"),
                ("entry-0", "permit"),
                ("broker-0", "queue"),
                ("entry-0", "endpoint"),
            }
            wait_until(lambda: self._hops(logs) >= wanted, "the spans")

    def _hops(self, logs):
        lines = [
            json.loads(line)
            for path in logs.glob("*.log")
            for line in path.read_text().splitlines()
            if line.startswith("{") and line.endswith("}")
        ]
        return {
            (line["process"], line["fields"]["hop"])
            for line in lines
            if line["fields"].get("trace") == "12" * 16
        }
