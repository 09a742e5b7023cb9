"""Decodes the platform's JSON documents into the gateway's types."""

from collections.abc import Callable
from typing import Any

import orjson

from rhubarbwinch.gateway.endpoints import Endpoint, EndpointState
from rhubarbwinch.gateway.platforminterface import EngineReport
from rhubarbwinch.gateway.routes import (
    Account,
    CallKind,
    EngineSpec,
    HttpLimits,
    Route,
    RoutingTable,
    ServiceSpec,
    WeightedService,
)
from rhubarbwinch.shared import netaddress
from rhubarbwinch.shared.exceptions import PlatformFormatError

JSON = dict[str, Any]

CALL_KINDS = {
    "idempotent": CallKind.IDEMPOTENT,
    "non_idempotent": CallKind.NON_IDEMPOTENT,
    "stream": CallKind.STREAM,
}
ENDPOINT_STATES = {
    "ready": EndpointState.READY,
    "draining": EndpointState.DRAINING,
}
DEFAULT_TIMEOUT_MS = 60_000


def _parse_object(data: bytes) -> JSON:
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise PlatformFormatError(f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise PlatformFormatError("not a JSON object")
    return document


def _decode(build: Callable[[JSON], Any], data: bytes) -> Any:
    """Decodes a document with `build`.

    Raises:
        PlatformFormatError: The document is not a JSON object, or a field is
            missing or has an invalid value.
    """
    document = _parse_object(data)
    try:
        return build(document)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise PlatformFormatError(f"{type(error).__name__}: {error}") from error


def _non_negative_int(value: Any) -> int:
    """Returns `value` if it is a non-negative integer.

    Raises:
        ValueError: The value is something else.
    """
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"{value!r} is not a non-negative integer")
    return value


def _text(value: Any) -> str:
    """Returns `value` if it is a string.

    Raises:
        ValueError: The value is something else.
    """
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a string")
    return value


def _non_empty_text(value: Any) -> str:
    """Returns `value` if it is a non-empty string.

    Raises:
        ValueError: The value is something else.
    """
    if not _text(value):
        raise ValueError("an empty string")
    return value


def decode_config(data: bytes) -> RoutingTable:
    """Decodes a version of the configuration.

    Raises:
        PlatformFormatError: The document is malformed.
    """
    return _decode(_decode_table, data)


def _decode_table(document: JSON) -> RoutingTable:
    routes: dict[str, dict[str, Route]] = {}
    for item in document["routes"]:
        route = _decode_route(item)
        routes.setdefault(route.host, {})[route.prefix] = route
    services = [_decode_service(item) for item in document["services"]]
    accounts = {
        key: Account(
            _non_empty_text(item["name"]),
            item.get("priority"),
            _decode_home_regions(item),
        )
        for item in document.get("tenants", [])
        for key in item["api_keys"]
    }
    return RoutingTable(
        version=int(document["version"]),
        routes=routes,
        services={service.name: service for service in services},
        accounts=accounts,
        requires_key="tenants" in document,
        limits=_decode_limits(document.get("limits", {})),
    )


def _decode_route(item: JSON) -> Route:
    if item.get("traffic_split"):
        targets = tuple(
            WeightedService(
                _non_empty_text(part["service"]), float(part["weight"])
            )
            for part in item["traffic_split"]
        )
    else:
        targets = (WeightedService(_non_empty_text(item["service"]), 1.0),)
    timeout_ms = int(item.get("timeout_ms") or DEFAULT_TIMEOUT_MS)
    return Route(
        name=str(item.get("name", "")),
        host=_non_empty_text(item["host"]).lower(),
        prefix=_non_empty_text(item["prefix"]),
        # Requests of an unknown kind are treated as not repeatable.
        kind=CALL_KINDS.get(item["kind"], CallKind.NON_IDEMPOTENT),
        timeout_ms=timeout_ms,
        objective_ms=int(item.get("target_latency_ms") or timeout_ms),
        max_event_gap_ms=int(item.get("target_gap_ms") or 0),
        max_attempts=max(1, int(item.get("max_attempts") or 1)),
        priority=int(item.get("priority") or 0),
        is_public=bool(item.get("public")),
        is_generation=bool(item.get("sticky")),
        is_resumable=bool(item.get("resumable")),
        targets=targets,
        home_regions=_decode_home_regions(item),
    )


def _decode_home_regions(item: JSON) -> frozenset[str]:
    """Returns the regions to which a route or a client account is bound."""
    regions = item.get("allowed_regions") or []
    return frozenset(_non_empty_text(region) for region in regions)


def _decode_service(item: JSON) -> ServiceSpec:
    engine = item.get("engine")
    return ServiceSpec(
        name=_non_empty_text(item["name"]),
        max_connections=int(item.get("max_connections") or 0),
        engine=_decode_engine(engine) if engine else None,
        cold_start_ms=int(1_000 * float(item.get("cold_start_s") or 0)),
        cold_per_s=float(item.get("cold_per_s") or 0),
    )


def _decode_engine(item: JSON) -> EngineSpec:
    return EngineSpec(
        slots=int(item["slots"]),
        kv_tokens=int(item["kv_tokens"]),
        supports_migration=bool(item.get("moves")),
        supports_standby=bool(item.get("backups")),
        copy_expiry_ms=int(1_000 * float(item.get("handle_s") or 0)),
    )


def _decode_limits(item: JSON) -> HttpLimits:
    defaults = HttpLimits()
    return HttpLimits(
        max_head_bytes=int(
            item.get("max_header_bytes") or defaults.max_head_bytes
        ),
        max_body_bytes=int(
            item.get("max_body_bytes") or defaults.max_body_bytes
        ),
        head_timeout_ms=int(
            item.get("header_timeout_ms") or defaults.head_timeout_ms
        ),
        idle_timeout_ms=int(
            item.get("idle_timeout_ms") or defaults.idle_timeout_ms
        ),
    )


def decode_endpoint(endpoint_id: str, data: bytes) -> Endpoint:
    """Decodes an endpoint's registration.

    Raises:
        PlatformFormatError: The document is malformed, or was written by
            something other than an endpoint.
    """

    def build(document: JSON) -> Endpoint:
        address = _non_empty_text(document["address"])
        netaddress.parse_address(address)
        return Endpoint(
            id=endpoint_id,
            service=_non_empty_text(document["service"]),
            address=address,
            data_center=_non_empty_text(document["zone"]),
            slots=_non_negative_int(document["slots"]),
            state=ENDPOINT_STATES[document["state"]],
            warmup_ms=_non_negative_int(document.get("cold_remaining_ms", 0)),
            started_ms=_non_negative_int(document.get("born", 0)),
            version=_text(document.get("version", "")),
        )

    return _decode(build, data)


def decode_report(data: bytes) -> EngineReport:
    """Decodes an engine's report of its own state.

    Raises:
        PlatformFormatError: The document is malformed.
    """

    def build(document: JSON) -> EngineReport:
        leaves = document.get("leaves_ms")
        return EngineReport(
            leaves_ms=None if leaves is None else int(leaves),
            is_leaving=document.get("state") == "draining",
        )

    return _decode(build, data)
