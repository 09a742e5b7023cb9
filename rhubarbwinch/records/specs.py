"""Defines the fields of records as attrs classes with validators."""

import re
from collections.abc import Callable
from typing import Any

import attrs

from rhubarbwinch.shared import netaddress

MAX_ENDPOINTS = 64
_NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9.-]{0,62}$")
_HOUR_MS = 3_600_000


class FieldError(ValueError):
    """A field has a value that is not allowed."""

    def __init__(self, field: str, value: object, allowed: str) -> None:
        super().__init__(f"{field}: {value!r}; allowed: {allowed}")
        self.field = field
        self.value = value
        self.allowed = allowed


@attrs.frozen
class _Validator:
    """A field validator that can describe the allowed values.

    Attributes:
        allowed: A description of the allowed values.
        accepts: Returns whether a value is allowed.
    """

    allowed: str
    accepts: Callable[[Any], bool]

    def __call__(
        self, _: Any, field: "attrs.Attribute[Any]", value: Any
    ) -> None:
        """Raises a FieldError for a value that is not allowed."""
        if not self.accepts(value):
            raise FieldError(field.name, value, self.allowed)


def _between(low: float, high: float) -> _Validator:
    return _Validator(f"{low} to {high}", lambda value: low <= value <= high)


def _one_of(*names: str) -> _Validator:
    return _Validator(", ".join(names), lambda value: value in names)


def _at_most(count: int) -> _Validator:
    return _Validator(f"at most {count}", lambda value: len(value) <= count)


def is_name(value: Any) -> bool:
    """Returns whether a value is a valid record name."""
    return isinstance(value, str) and bool(_NAME_PATTERN.match(value))


def _is_address(value: str) -> bool:
    try:
        netaddress.parse_address(value)
    except ValueError:
        return False
    return True


NAME_ALLOWED = "1 to 63 of a-z, 0-9, dot and dash"
_name_validator = _Validator(NAME_ALLOWED, is_name)
_address_validator = _Validator("IP number:port", _is_address)


@attrs.frozen
class ModelSpec:
    """A model that engines can load.

    Attributes:
        context_tokens: The most tokens of prompt and output together.
        versions: The versions that may be in use at the same time.
        adapters: The names of adapters that can be loaded for the model.
    """

    context_tokens: int = attrs.field(
        default=32_768, validator=_between(16, 10_000_000)
    )
    versions: list[str] = attrs.field(factory=lambda: ["1"])
    adapters: list[str] = attrs.field(factory=list)


@attrs.frozen
class EndpointSpec:
    """An endpoint of a pool.

    Attributes:
        name: Unique among all endpoints.
        address: `a.b.c.d:port`.
        checks_fencing: Whether it refuses orders with an old fencing number.
        role: The work of an engine: `mixed`, `prefill` or `decode`.
    """

    name: str = attrs.field(validator=_name_validator)
    address: str = attrs.field(validator=_address_validator)
    checks_fencing: bool = True
    role: str = attrs.field(
        default="mixed", validator=_one_of("mixed", "prefill", "decode")
    )


@attrs.frozen
class PoolSpec:
    """The endpoints of one model or plain service in one data centre.

    Attributes:
        target: The model's or plain service's name.
        data_center: The data centre of the endpoints.
        endpoints: The endpoints, at most 64.
        max_running: The most requests that an endpoint runs at once.
    """

    target: str = attrs.field(validator=_name_validator)
    data_center: str = attrs.field(validator=_name_validator)
    endpoints: list[EndpointSpec] = attrs.field(
        factory=list, validator=_at_most(MAX_ENDPOINTS)
    )
    max_running: int = attrs.field(default=64, validator=_between(1, 4096))


@attrs.frozen
class KeyHash:
    """A salted SHA-256 of an API key, both in hexadecimal."""

    salt: str
    digest: str


@attrs.frozen
class Room:
    """The limits of an account's requests in flight.

    Attributes:
        requests: The most requests in flight.
        tokens: The most prompt and expected output tokens in flight.
    """

    requests: int = attrs.field(default=256, validator=_between(0, 1_000_000))
    tokens: int = attrs.field(default=1_000_000, validator=_between(0, 10**12))


@attrs.frozen
class AccountSpec:
    """A client account.

    Attributes:
        keys: Hashes of its API keys.
        services: The services that it may call.
        weight: Its share of the capacity while requests are queued.
        room: The limits of its requests in flight.
        requests_per_second: The highest rate of new requests; 0 is no limit.
    """

    keys: list[KeyHash] = attrs.field(factory=list)
    services: list[str] = attrs.field(factory=list)
    weight: float = attrs.field(default=1.0, validator=_between(0.01, 1000))
    room: Room = attrs.field(factory=Room)
    requests_per_second: float = attrs.field(
        default=0.0, validator=_between(0, 1_000_000)
    )


@attrs.frozen
class ServiceSpec:
    """A name that callers use: a model with its settings, or a plain service.

    Attributes:
        kind: `generate` for a model, `plain` for other calls.
        target: The model, or the target of the plain service's pools.
        version: The model version.
        adapter: The adapter's name, or empty.
        interactive: Whether a person waits for the first token.
        wait_ms: The longest wait in the queue, in ms.
        not_repeatable: `METHOD /path` of calls that run at most once.
        retention_ms: How long an idempotency key is kept, in ms.
    """

    kind: str = attrs.field(validator=_one_of("generate", "plain"))
    target: str = attrs.field(validator=_name_validator)
    version: str = "1"
    adapter: str = ""
    interactive: bool = True
    wait_ms: int = attrs.field(default=2_000, validator=_between(0, 600_000))
    not_repeatable: list[str] = attrs.field(factory=list)
    retention_ms: int = attrs.field(
        default=24 * _HOUR_MS, validator=_between(60_000, 90 * 24 * _HOUR_MS)
    )


@attrs.frozen
class VmSpec:
    """A VM, named by its IP address.

    Attributes:
        leaving: Whether the VM is leaving and gets no new work.
    """

    leaving: bool = True


KINDS: dict[str, type] = {
    "model": ModelSpec,
    "pool": PoolSpec,
    "account": AccountSpec,
    "service": ServiceSpec,
    "vm": VmSpec,
}


def allowed(field: "attrs.Attribute[Any]") -> str:
    """Returns a description of the allowed values beyond the type, or empty."""
    rule = field.validator
    return rule.allowed if isinstance(rule, _Validator) else ""
