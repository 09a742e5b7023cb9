"""Distributed tracing: one trace per request, with a span for each hop.

The spans are `entry` for a caller's request, `permit` for a request to a
broker, `queue` for the broker's decision, `endpoint` for a call to an endpoint
and `store` for a call to the key-value store within a request. The trace
context is propagated as W3C `traceparent`: in HTTP headers of callers and
endpoints, and in a field of the messages between the programs.

Until `configure` or `configure_processor` is called, every span is one shared
object that records nothing.
"""

import re
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from contextvars import ContextVar
from typing import Any

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
    SpanProcessor,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from rhubarbwinch.shared import events
from rhubarbwinch.shared.verdict import Failure

HEADER = "traceparent"
LOG_TARGET = "log"
_TRACEPARENT = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")
_NS_PER_MS = 1_000_000

# The trace context that a caller sent; set only while tracing is off.
_propagated: ContextVar[str] = ContextVar("passed_on", default="")

_propagator = TraceContextTextMapPropagator()


class _State:
    """The tracer and its provider; both are None while tracing is off."""

    def __init__(self) -> None:
        self.tracer: trace.Tracer | None = None
        self.provider: TracerProvider | None = None


_state = _State()


class LogExporter(SpanExporter):
    """Writes each finished span as a log event."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Logs the spans."""
        for span in spans:
            context, parent = span.get_span_context(), span.parent
            if context is None or not span.start_time or not span.end_time:
                continue
            events.SPAN.log(
                trace=f"{context.trace_id:032x}",
                span=f"{context.span_id:016x}",
                parent=f"{parent.span_id:016x}" if parent else "-",
                hop=span.name,
                start_ms=span.start_time // _NS_PER_MS,
                ms=round((span.end_time - span.start_time) / _NS_PER_MS, 2),
                **dict(span.attributes or {}),
            )
        return SpanExportResult.SUCCESS


def configure(target: str, process: str, percent: int = 100) -> None:
    """Turns tracing on.

    Args:
        target: `log` for log events, the URL of an OTLP collector, or empty
            for no tracing.
        process: The member's name.
        percent: The percentage of the traces that begin here to record.
    """
    if not target:
        return
    processor: SpanProcessor
    if target == LOG_TARGET:
        processor = SimpleSpanProcessor(LogExporter())
    else:
        # The exporter is slow to import, so it is imported only if needed.
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import (  # noqa: PLC0415
            OTLPSpanExporter,
        )

        processor = BatchSpanProcessor(OTLPSpanExporter(endpoint=target))
    configure_processor(processor, process, percent)


def configure_processor(
    processor: SpanProcessor, process: str, percent: int = 100
) -> None:
    """Turns tracing on with the given span processor."""
    resource = Resource(
        {"service.name": "rhubarbwinch", "service.instance.id": process}
    )
    sampler = ParentBased(TraceIdRatioBased(percent / 100))
    provider = TracerProvider(resource=resource, sampler=sampler)
    provider.add_span_processor(processor)
    _state.provider = provider
    _state.tracer = provider.get_tracer("rhubarbwinch")


def close() -> None:
    """Exports the remaining spans and turns tracing off."""
    if _state.provider is not None:
        _state.provider.shutdown()
    _state.provider = _state.tracer = None


@contextmanager
def span(
    name: str, traceparent: str | None = None, **attributes: Any
) -> Iterator[trace.Span]:
    """Runs a block in a span; spans begun in the block are its children.

    Args:
        name: The hop's name.
        traceparent: The caller's trace context; None to make the span a child
            of the current span.
        attributes: The span's attributes.
    """
    if _state.tracer is None:
        with _propagating(traceparent):
            yield trace.INVALID_SPAN
        return
    context = None
    if traceparent is not None:
        context = _propagator.extract({HEADER: traceparent})
    with _state.tracer.start_as_current_span(
        name, context, attributes=attributes, record_exception=False
    ) as active_span:
        yield active_span


@contextmanager
def _propagating(traceparent: str | None) -> Iterator[None]:
    """Keeps a caller's trace context for the calls that a block makes."""
    if not traceparent or not _TRACEPARENT.fullmatch(traceparent):
        yield
        return
    token = _propagated.set(traceparent)
    try:
        yield
    finally:
        _propagated.reset(token)


@contextmanager
def stream_span(
    name: str, headers: dict[str, str], **attributes: Any
) -> Iterator[trace.Span]:
    """Runs a block in a span and adds the span's context to `headers`.

    The span does not become the current span, so that the block may yield from
    an asynchronous generator, which may be closed in another task.
    """
    if _state.tracer is None or not _has_context():
        # A program without tracing still propagates its caller's context.
        if _propagated.get():
            headers[HEADER] = _propagated.get()
        yield trace.INVALID_SPAN
        return
    active_span = _state.tracer.start_span(name, attributes=attributes)
    _propagator.inject(headers, trace.set_span_in_context(active_span))
    try:
        yield active_span
    finally:
        active_span.end()


def current_traceparent() -> str:
    """Returns the `traceparent` of the current span; empty without a span."""
    if _state.tracer is None:
        return _propagated.get()
    headers: dict[str, str] = {}
    _propagator.inject(headers)
    return headers.get(HEADER, "")


def _has_context() -> bool:
    return trace.get_current_span().get_span_context().is_valid


def is_recording() -> bool:
    """Returns whether the current span is recorded."""
    return _state.tracer is not None and (
        trace.get_current_span().is_recording()
    )


def record_failure(failure: Failure) -> None:
    """Records a failure and its verdict in the current span."""
    active_span = trace.get_current_span()
    active_span.set_attribute("reason", failure.reason.value)
    active_span.set_attribute("verdict", failure.verdict.value)
    active_span.set_status(trace.StatusCode.ERROR, failure.detail)
