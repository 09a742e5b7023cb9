"""Makes the tracing spans of a request, if the program exports traces."""

from contextlib import AbstractContextManager, nullcontext
from typing import Any, Protocol

from rhubarbwinch.gateway.platforminterface import Headers

# The header of W3C Trace Context.
TRACEPARENT = b"traceparent"


class Tracer(Protocol):
    """Makes spans; `rhubarbwinch.shared.tracing` is the implementation."""

    def span(
        self, name: str, traceparent: str | None = None, **attributes: Any
    ) -> AbstractContextManager[Any]:
        """Runs a block in a span; spans started in it are its children."""
        ...

    def current_traceparent(self) -> str:
        """Returns the traceparent of the current span; empty without one."""
        ...

    def close(self) -> None:
        """Exports the remaining spans."""
        ...


def request_span(
    tracer: Tracer | None, headers: Headers, request_id: str
) -> AbstractContextManager[Any]:
    """Returns the span of a caller's request, a child of the caller's span."""
    if tracer is None:
        return nullcontext()
    traceparents = [
        v.decode("latin-1") for n, v in headers if _is_traceparent(n)
    ]
    return tracer.span("gateway", "".join(traceparents[:1]), request=request_id)


def attempt_span(
    tracer: Tracer | None, endpoint_id: str
) -> AbstractContextManager[Any]:
    """Returns the span of an attempt, from its start to the response head."""
    if tracer is None:
        return nullcontext()
    return tracer.span("endpoint", endpoint=endpoint_id)


def with_traceparent(tracer: Tracer | None, headers: Headers) -> Headers:
    """Returns the headers with the current span as the parent."""
    if tracer is None:
        return headers
    kept = [(n, v) for n, v in headers if not _is_traceparent(n)]
    return [*kept, (TRACEPARENT, tracer.current_traceparent().encode())]


def _is_traceparent(name: bytes) -> bool:
    return name.lower() == TRACEPARENT
