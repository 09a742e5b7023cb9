"""Tracing spans of the requests that a gateway serves."""

import unittest

from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from rhubarbwinch.shared import tracing
from tests.gatewayharness import running_gateway
from tests.helpers import asynchronous

PARENT = f"00-{'12' * 16}-{'34' * 8}-01"


class RequestSpansTest(unittest.TestCase):
    """A request with and without tracing."""

    @asynchronous
    async def test_the_span_of_an_attempt_is_a_child_of_the_requests_span(self):
        exporter = InMemorySpanExporter()
        tracing.configure_processor(SimpleSpanProcessor(exporter), "g1")
        self.addCleanup(tracing.close)
        async with running_gateway(engines=1, tracer=tracing) as gateway:
            response = await gateway.call(traceparent=PARENT)
            forwarded = gateway.engines[0].received[0].headers["traceparent"]
        self.assertEqual(response.status, 200)
        spans = {span.name: span for span in exporter.get_finished_spans()}
        request, attempt = spans["gateway"], spans["endpoint"]
        self.assertEqual(request.parent.span_id, int("34" * 8, 16))
        self.assertEqual(request.attributes["request"], "q1")
        self.assertEqual(attempt.parent.span_id, request.context.span_id)
        self.assertEqual(attempt.attributes["endpoint"], "e1")
        self.assertIn(f"{attempt.context.span_id:016x}", forwarded)

    @asynchronous
    async def test_without_tracing_the_callers_traceparent_is_forwarded(self):
        async with running_gateway(engines=1) as gateway:
            await gateway.call(traceparent=PARENT)
            forwarded = gateway.engines[0].received[0].headers["traceparent"]
        self.assertEqual(forwarded, PARENT)
