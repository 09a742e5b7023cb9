"""The Prometheus metrics of a gateway."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

REGISTRY = CollectorRegistry()
_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 24, 48)

REQUESTS = Counter(
    "rhubarbwinch_requests",
    "Requests by route and by how they ended.",
    ["route", "outcome"],
    registry=REGISTRY,
)
LATENCY = Histogram(
    "rhubarbwinch_latency_seconds",
    "Time to the whole answer; of streams, to the first event.",
    ["route"],
    buckets=_SECONDS,
    registry=REGISTRY,
)
ATTEMPTS = Counter(
    "rhubarbwinch_sends",
    "Sends to endpoints by how they ended.",
    ["outcome"],
    registry=REGISTRY,
)
CONTINUATIONS = Counter(
    "rhubarbwinch_moves",
    "Generations that went on at another engine, by how and how it ended.",
    ["how", "outcome"],
    registry=REGISTRY,
)
LATE_GAPS = Counter(
    "rhubarbwinch_late_gaps",
    "Pauses between events of a stream over the route's bound.",
    ["route"],
    registry=REGISTRY,
)
WAITING = Gauge(
    "rhubarbwinch_waiting",
    "Generations that wait for an engine.",
    registry=REGISTRY,
)
OPEN_REQUESTS = Gauge(
    "rhubarbwinch_open_requests",
    "Requests that are being served.",
    registry=REGISTRY,
)
CONFIG_VERSION = Gauge(
    "rhubarbwinch_config_version",
    "The version of the configuration in force.",
    registry=REGISTRY,
)
EVACUATED_DATA_CENTERS = Gauge(
    "rhubarbwinch_evacuated_data_centers",
    "Data centres whose endpoints get no requests.",
    registry=REGISTRY,
)
COLD_SENDS = Counter(
    "rhubarbwinch_cold_sends",
    "Requests to cold endpoints, at once or after a wait for a share.",
    ["how"],
    registry=REGISTRY,
)
CONFIG_OUTDATED = Gauge(
    "rhubarbwinch_config_outdated",
    "Whether other gateways have had a newer configuration for some time.",
    registry=REGISTRY,
)
RATE_LIMITED_ENDPOINTS = Gauge(
    "rhubarbwinch_rate_limited_endpoints",
    "Endpoints that accept only some requests a second.",
    registry=REGISTRY,
)
PERMIT_WAITS = Counter(
    "rhubarbwinch_permit_waits",
    "Requests that waited for the rate limit of an endpoint, by outcome.",
    ["outcome"],
    registry=REGISTRY,
)
REFUSED_SUSPECTS = Gauge(
    "rhubarbwinch_refused_suspects",
    "Requests and parts of prompts that are refused as endpoints crash.",
    registry=REGISTRY,
)
ISOLATED_SERVICES = Gauge(
    "rhubarbwinch_isolated_services",
    "Services whose endpoints other gateways reach, and this one does not.",
    registry=REGISTRY,
)
FORWARDED = Counter(
    "rhubarbwinch_forwarded",
    "Requests passed on to another gateway, by how that ended.",
    ["outcome"],
    registry=REGISTRY,
)
SLOT_WAITS = Counter(
    "rhubarbwinch_slot_waits",
    "Plain calls that waited for a slot of a brittle endpoint.",
    registry=REGISTRY,
)
GONE_ENDPOINTS = Counter(
    "rhubarbwinch_gone_endpoints",
    "Starts of endpoints marked as gone from their address (status 421).",
    registry=REGISTRY,
)
BUFFERED_BYTES = Gauge(
    "rhubarbwinch_buffered_bytes",
    "Bytes of requests and responses that are buffered for callers.",
    registry=REGISTRY,
)
SLOW_CALLERS_CUT = Counter(
    "rhubarbwinch_slow_callers_cut",
    "Callers that were disconnected as they read too slowly, by reason.",
    ["reason"],
    registry=REGISTRY,
)
RESPONSES_ENDED = Counter(
    "rhubarbwinch_responses_ended",
    "Responses of endpoints that were ended for want of memory.",
    registry=REGISTRY,
)
LOG_LINES_DROPPED = Counter(
    "rhubarbwinch_log_lines_dropped",
    "Log lines that were not written, over the budget or to a slow reader.",
    registry=REGISTRY,
)


def render() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
