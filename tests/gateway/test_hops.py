"""Tracing spans of the requests that a gateway serves."""

import unittest

from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from rhubarbwinch.shared import tracing
from tests.gatewayworld import world
from tests.helpers import asynchronous

PARENT = f"00-{'12' * 16}-{'34' * 8}-01"


class HopsTest(unittest.TestCase):
    """A request with and without tracing."""

    @asynchronous
    async def test_the_span_of_an_attempt_is_a_child_of_the_requests_span(self):
        exporter = InMemorySpanExporter()
        tracing.use(SimpleSpanProcessor(exporter), "g1")
        self.addCleanup(tracing.close)
        async with world(engines=1, tracer=tracing) as w:
            answer = await w.call(traceparent=PARENT)
            seen = w.engines[0].arrivals[0].headers["traceparent"]
        self.assertEqual(answer.status, 200)
        spans = {span.name: span for span in exporter.get_finished_spans()}
        request, send = spans["gateway"], spans["endpoint"]
        self.assertEqual(request.parent.span_id, int("34" * 8, 16))
        self.assertEqual(request.attributes["request"], "q1")
        self.assertEqual(send.parent.span_id, request.context.span_id)
        self.assertEqual(send.attributes["endpoint"], "e1")
        self.assertIn(f"{send.context.span_id:016x}", seen)

    @asynchronous
    async def test_without_tracing_the_callers_traceparent_is_forwarded(self):
        async with world(engines=1) as w:
            await w.call(traceparent=PARENT)
            seen = w.engines[0].arrivals[0].headers["traceparent"]
        self.assertEqual(seen, PARENT)
