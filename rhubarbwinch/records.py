"""Operators' records: their schemas, checks and conversion.

A record is a JSON object `{"schema": 2, "kind": ..., "name": ..., "spec":
{...}}`. Schema 1 is converted to 2 when it is read. A record of an unknown
newer schema is kept as it is and not used. docs/records.md lists the fields.
"""

import re
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import cattrs
import orjson
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)

from rhubarbwinch import misc
from rhubarbwinch.exceptions import RecordError
from rhubarbwinch.registry import Registry

JSON = dict[str, Any]

CURRENT_SCHEMA = 2
MAX_RECORD_BYTES = 256 << 10
_NAME = re.compile(r"^[a-z0-9][a-z0-9.-]{0,62}$")
_HOUR_MS = 3_600_000


class _FieldError(ValueError):
    """A field has a value that is not allowed."""

    def __init__(self, field: str, value: object, allowed: str) -> None:
        super().__init__(f"{field}: {value!r}; allowed: {allowed}")
        self.field = field
        self.value = value
        self.allowed = allowed


Validator = Callable[[Any, "attrs.Attribute[Any]", Any], None]


def _between(low: float, high: float) -> Validator:
    def check(_: Any, field: "attrs.Attribute[Any]", value: Any) -> None:
        if not low <= value <= high:
            raise _FieldError(field.name, value, f"{low} to {high}")

    return check


def _one_of(*names: str) -> Validator:
    def check(_: Any, field: "attrs.Attribute[Any]", value: Any) -> None:
        if value not in names:
            raise _FieldError(field.name, value, ", ".join(names))

    return check


def _is_name(_: Any, field: "attrs.Attribute[Any]", value: Any) -> None:
    if not _NAME.match(value):
        allowed = "1 to 63 of a-z, 0-9, dot and dash"
        raise _FieldError(field.name, value, allowed)


def _is_address(_: Any, field: "attrs.Attribute[Any]", value: Any) -> None:
    try:
        misc.split_address(value)
    except ValueError:
        raise _FieldError(field.name, value, "IP number:port") from None


@attrs.frozen
class ModelSpec:
    """A model that engines can load.

    Attributes:
        context_tokens: Prompt and output together are at most this long.
        versions: The versions that may be in use side by side.
        adapters: Names of adapters that can be loaded on top.
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
        role: What an engine does: `mixed`, `prefill` or `decode`.
    """

    name: str = attrs.field(validator=_is_name)
    address: str = attrs.field(validator=_is_address)
    checks_fencing: bool = True
    role: str = attrs.field(
        default="mixed", validator=_one_of("mixed", "prefill", "decode")
    )


@attrs.frozen
class PoolSpec:
    """The endpoints of one model or plain service in one data centre.

    Attributes:
        target: The model's or plain service's name.
        data_center: Where the endpoints are.
        endpoints: The endpoints, at most 64.
        max_running: Requests that an endpoint runs at once.
    """

    target: str = attrs.field(validator=_is_name)
    data_center: str = attrs.field(validator=_is_name)
    endpoints: list[EndpointSpec] = attrs.field(factory=list)
    max_running: int = attrs.field(default=64, validator=_between(1, 4096))


@attrs.frozen
class KeyHash:
    """A salted SHA-256 of an API key, both in hexadecimal."""

    salt: str
    digest: str


@attrs.frozen
class Room:
    """How much an account may have in flight.

    Attributes:
        requests: Requests at once.
        tokens: Prompt and expected output tokens at once.
    """

    requests: int = attrs.field(default=256, validator=_between(0, 1_000_000))
    tokens: int = attrs.field(default=1_000_000, validator=_between(0, 10**12))


@attrs.frozen
class AccountSpec:
    """A client account.

    Attributes:
        keys: Hashes of its API keys.
        services: The services that it may call.
        weight: Its share when engines are crowded.
        room: What it may have in flight.
        requests_per_second: The rate of new requests; 0 is no limit.
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
    """A name that callers use: a model with its settings, or plain calls.

    Attributes:
        kind: `generate` for a model, `plain` for other calls.
        target: The model or the plain service's pools.
        version: The model version.
        adapter: The adapter's name, or empty.
        interactive: Whether a person waits for the first token.
        wait_ms: The longest wait in the queue.
        not_repeatable: `METHOD /path` of calls that run at most once.
        retention_ms: How long an idempotency key is kept.
    """

    kind: str = attrs.field(validator=_one_of("generate", "plain"))
    target: str = attrs.field(validator=_is_name)
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
    """A VM, named by its IP number.

    Attributes:
        leaving: Whether it gets no new work.
    """

    leaving: bool = True


KINDS: dict[str, type] = {
    "model": ModelSpec,
    "pool": PoolSpec,
    "account": AccountSpec,
    "service": ServiceSpec,
    "vm": VmSpec,
}

# Converts the spec of `kind/schema` to the next schema.
CONVERTERS: Registry[Callable[[JSON], JSON]] = Registry("record conversion")


@CONVERTERS.register("account/1")
def _account_1(spec: JSON) -> JSON:
    """Schema 1 had one key and flat limits."""
    spec = dict(spec)
    if "key_salt" in spec:
        key = {"salt": spec.pop("key_salt"), "digest": spec.pop("key_hash", "")}
        spec["keys"] = [key]
    room = {
        new: spec.pop(old)
        for old, new in (("max_requests", "requests"), ("max_tokens", "tokens"))
        if old in spec
    }
    return spec | ({"room": room} if room else {})


@CONVERTERS.register("service/1")
def _service_1(spec: JSON) -> JSON:
    """Schema 1 marked all calls of a service or none."""
    spec = dict(spec)
    if not spec.pop("idempotent", True):
        spec["not_repeatable"] = ["POST /*"]
    return spec


@CONVERTERS.register("model/1")
def _model_1(spec: JSON) -> JSON:
    """Schema 1 had one version."""
    spec = dict(spec)
    if "version" in spec:
        spec["versions"] = [spec.pop("version")]
    return spec


@CONVERTERS.register("vm/1")
@CONVERTERS.register("pool/1")
def _unchanged(spec: JSON) -> JSON:
    """Schema 1 is the same as schema 2."""
    return spec


@attrs.frozen
class Record:
    """A record as an operator wrote it.

    Attributes:
        kind: One of `KINDS`.
        name: Unique within the kind.
        schema: The schema version of `spec`.
        spec: The fields, unchecked.
        raw: The bytes that it was read from, if any.
    """

    kind: str
    name: str
    schema: int
    spec: JSON = attrs.field(factory=dict)
    raw: bytes = attrs.field(default=b"", eq=False, repr=False)

    @property
    def key(self) -> str:
        """`kind/name`."""
        return f"{self.kind}/{self.name}"

    @property
    def is_newer(self) -> bool:
        """Whether the schema is newer than this program knows."""
        return self.schema > CURRENT_SCHEMA

    def to_bytes(self) -> bytes:
        """Returns the bytes that it was read from, or JSON with sorted keys."""
        if self.raw:
            return self.raw
        data = {
            "kind": self.kind,
            "name": self.name,
            "schema": self.schema,
            "spec": self.spec,
        }
        return orjson.dumps(data, option=orjson.OPT_SORT_KEYS)


def parse(data: bytes | JSON, where: str = "?") -> Record:
    """Returns the record in a JSON object.

    Args:
        data: The object or its bytes.
        where: Names the source in errors.

    Raises:
        RecordError: It is not a record of a known kind.
    """
    raw = data if isinstance(data, bytes) else b""
    if isinstance(data, bytes):
        if len(data) > MAX_RECORD_BYTES:
            allowed = f"at most {MAX_RECORD_BYTES} bytes"
            raise RecordError(where, "size", len(data), allowed)
        try:
            data = orjson.loads(data)
        except orjson.JSONDecodeError as error:
            raise RecordError(where, "-", str(error), "JSON") from None
    if not isinstance(data, dict):
        raise RecordError(where, "-", data, "an object")
    kind, name = data.get("kind"), data.get("name")
    schema, spec = data.get("schema"), data.get("spec", {})
    where = f"{kind}/{name}"
    # A newer schema may bring kinds that this program does not know.
    is_newer = type(schema) is int and schema > CURRENT_SCHEMA
    if kind not in KINDS and not (is_newer and isinstance(kind, str)):
        raise RecordError(where, "kind", kind, ", ".join(KINDS))
    if not isinstance(name, str) or not _NAME.match(name):
        allowed = "1 to 63 of a-z, 0-9, dot and dash"
        raise RecordError(where, "name", name, allowed)
    if type(schema) is not int or schema < 1:
        raise RecordError(where, "schema", schema, "a whole number from 1")
    if not isinstance(spec, dict):
        raise RecordError(where, "spec", spec, "an object")
    return Record(kind, name, schema, spec, raw)


def check(record: Record) -> Any:
    """Returns the record's spec as its attrs class.

    Raises:
        RecordError: A field is unknown, missing or out of range, or the
            schema is newer than this program knows.
    """
    if record.is_newer:
        allowed = f"1 to {CURRENT_SCHEMA}"
        raise RecordError(record.key, "schema", record.schema, allowed)
    spec = upgrade(record).spec
    try:
        return _converter.structure(spec, KINDS[record.kind])
    except Exception as error:
        found = next(_faults(error, ""))
        raise RecordError(
            record.key, found.field, found.value, found.allowed
        ) from None


def errors(record: Record) -> list[RecordError]:
    """Returns everything that `check` has against a record."""
    if record.is_newer:
        allowed = f"1 to {CURRENT_SCHEMA}"
        return [RecordError(record.key, "schema", record.schema, allowed)]
    try:
        _converter.structure(upgrade(record).spec, KINDS[record.kind])
    except Exception as error:
        return [
            RecordError(record.key, found.field, found.value, found.allowed)
            for found in _faults(error, "")
        ]
    return []


def upgrade(record: Record) -> Record:
    """Returns a record of a known schema in the current one."""
    spec = record.spec
    for schema in range(record.schema, CURRENT_SCHEMA):
        spec = CONVERTERS.get(f"{record.kind}/{schema}")(spec)
    return attrs.evolve(record, schema=CURRENT_SCHEMA, spec=spec)


def _strict(kind: type) -> Callable[[Any, Any], Any]:
    def structure(value: Any, _: Any) -> Any:
        if type(value) is not kind:
            raise _FieldError("", value, f"a {kind.__name__}")
        return value

    return structure


def _float(value: Any, _: Any) -> float:
    if type(value) not in (int, float):
        raise _FieldError("", value, "a number")
    return float(value)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (int, str, bool):
        converter.register_structure_hook(kind, _strict(kind))
    converter.register_structure_hook(float, _float)
    return converter


_converter = _make_converter()


def _faults(error: BaseException, path: str) -> Iterator[_FieldError]:
    """Yields the faults in cattrs's tree, each with its whole path."""
    if isinstance(error, ClassValidationError | IterableValidationError):
        noted, plain = error.group_exceptions()
        for inner, note in noted:
            step = getattr(note, "name", None) or str(note.index)
            yield from _faults(inner, f"{path}.{step}".strip("."))
        for inner in plain:
            yield from _faults(inner, path)
    elif isinstance(error, ExceptionGroup):
        for inner in error.exceptions:
            yield from _faults(inner, path)
    elif isinstance(error, _FieldError):
        field = f"{path}.{error.field}".strip(".")
        yield _FieldError(field, error.value, error.allowed)
    elif isinstance(error, ForbiddenExtraKeysError):
        for extra in sorted(error.extra_fields):
            field = f"{path}.{extra}".strip(".")
            yield _FieldError(field, "present", "no such field")
    elif isinstance(error, KeyError):
        field = f"{path}.{error.args[0]}".strip(".")
        yield _FieldError(field, "missing", "required")
    else:
        yield _FieldError(path or "-", str(error), "another form")
