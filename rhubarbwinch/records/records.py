"""Parses, checks and converts operators' records.

A record is a JSON object `{"schema": 2, "kind": ..., "name": ..., "spec":
{...}}`. Schema 1 is converted to schema 2 when the record is read. A record of
an unknown newer schema is stored unchanged but not used. docs/records.md lists
the fields.
"""

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

from rhubarbwinch.records.specs import (
    KINDS,
    NAME_ALLOWED,
    AccountSpec,
    EndpointSpec,
    FieldError,
    KeyHash,
    ModelSpec,
    PoolSpec,
    Room,
    ServiceSpec,
    VmSpec,
    is_name,
)
from rhubarbwinch.shared.exceptions import RecordError
from rhubarbwinch.shared.registry import Registry

__all__ = [
    "CONVERTERS",
    "CURRENT_SCHEMA",
    "KINDS",
    "MAX_RECORD_BYTES",
    "AccountSpec",
    "EndpointSpec",
    "KeyHash",
    "ModelSpec",
    "PoolSpec",
    "Record",
    "Room",
    "ServiceSpec",
    "VmSpec",
    "check",
    "errors",
    "parse",
    "upgrade",
]

JSON = dict[str, Any]

CURRENT_SCHEMA = 2
MAX_RECORD_BYTES = 256 << 10


# Converts the spec of `kind/schema` to the next schema.
CONVERTERS: Registry[Callable[[JSON], JSON]] = Registry("record conversion")


@CONVERTERS.register("account/1")
def _convert_account_1(spec: JSON) -> JSON:
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
def _convert_service_1(spec: JSON) -> JSON:
    """Schema 1 marked either all calls of a service as idempotent or none."""
    spec = dict(spec)
    if not spec.pop("idempotent", True):
        spec["not_repeatable"] = ["POST /*"]
    return spec


@CONVERTERS.register("model/1")
def _convert_model_1(spec: JSON) -> JSON:
    """Schema 1 had one version."""
    spec = dict(spec)
    if "version" in spec:
        spec["versions"] = [spec.pop("version")]
    return spec


@CONVERTERS.register("vm/1")
@CONVERTERS.register("pool/1")
def _convert_unchanged(spec: JSON) -> JSON:
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
        raw: The bytes that the record was parsed from, if any.
    """

    kind: str
    name: str
    schema: int
    spec: JSON = attrs.field(factory=dict)
    raw: bytes = attrs.field(default=b"", eq=False, repr=False)

    @property
    def key(self) -> str:
        """The record's key, `kind/name`."""
        return f"{self.kind}/{self.name}"

    @property
    def is_newer(self) -> bool:
        """Whether the schema is newer than this program knows."""
        return self.schema > CURRENT_SCHEMA

    def to_bytes(self) -> bytes:
        """Returns the record as JSON, with sorted keys."""
        data = {
            "kind": self.kind,
            "name": self.name,
            "schema": self.schema,
            "spec": self.spec,
        }
        return orjson.dumps(data, option=orjson.OPT_SORT_KEYS)


def parse(data: bytes | JSON, where: str = "?") -> Record:
    """Parses a record from a JSON object.

    Args:
        data: The object or its bytes.
        where: The name of the source in error messages.

    Raises:
        RecordError: The data is not a record of a known kind.
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
    # A newer schema may have kinds that this program does not know.
    is_newer = type(schema) is int and schema > CURRENT_SCHEMA
    if kind not in KINDS and not (is_newer and isinstance(kind, str)):
        raise RecordError(where, "kind", kind, ", ".join(KINDS))
    if not isinstance(name, str) or not is_name(name):
        raise RecordError(where, "name", name, NAME_ALLOWED)
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
        found = errors(record)
        if not found:
            allowed = "another form"
            found = [RecordError(record.key, "-", str(error), allowed)]
        raise found[0] from None


def errors(record: Record) -> list[RecordError]:
    """Returns all errors that make `check` reject a record."""
    if record.is_newer:
        allowed = f"1 to {CURRENT_SCHEMA}"
        return [RecordError(record.key, "schema", record.schema, allowed)]
    return [
        RecordError(record.key, found.field, found.value, found.allowed)
        for found in _spec_errors(upgrade(record).spec, KINDS[record.kind])
    ]


def _spec_errors(spec: JSON, kind: Any) -> Iterator[FieldError]:
    """Yields the errors of each field, in the order of the class."""
    fields = attrs.fields(kind)
    for field in fields:
        if field.name in spec:
            yield from _field_errors(spec[field.name], field)
        elif field.default is attrs.NOTHING:
            yield FieldError(field.name, "missing", "required")
    for extra in sorted(spec.keys() - {field.name for field in fields}):
        yield FieldError(extra, "present", "no such field")


def _field_errors(value: Any, field: Any) -> Iterator[FieldError]:
    try:
        structured = _converter.structure(value, field.type)
    except Exception as error:
        yield from _flatten_errors(error, field.name)
        return
    try:
        if field.validator is not None:
            field.validator(None, field, structured)
    except FieldError as error:
        yield error


def upgrade(record: Record) -> Record:
    """Converts a record of a known schema to the current schema."""
    spec = record.spec
    for schema in range(record.schema, CURRENT_SCHEMA):
        spec = CONVERTERS.get(f"{record.kind}/{schema}")(spec)
    return Record(record.kind, record.name, CURRENT_SCHEMA, spec)


def _strict_hook(kind: type) -> Callable[[Any, Any], Any]:
    def structure(value: Any, _: Any) -> Any:
        if type(value) is not kind:
            raise FieldError("", value, f"a {kind.__name__}")
        return value

    return structure


def _float_hook(value: Any, _: Any) -> float:
    if type(value) not in (int, float):
        raise FieldError("", value, "a number")
    return float(value)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (int, str, bool):
        converter.register_structure_hook(kind, _strict_hook(kind))
    converter.register_structure_hook(float, _float_hook)
    return converter


_converter = _make_converter()


def _flatten_errors(error: BaseException, path: str) -> Iterator[FieldError]:
    """Yields the field errors in a cattrs error tree, with their full paths."""
    if isinstance(error, ClassValidationError | IterableValidationError):
        noted_errors, plain_errors = error.group_exceptions()
        for inner, note in noted_errors:
            segment = getattr(note, "name", None) or str(note.index)
            yield from _flatten_errors(inner, f"{path}.{segment}".strip("."))
        for inner in plain_errors:
            yield from _flatten_errors(inner, path)
    elif isinstance(error, ExceptionGroup):
        for inner in error.exceptions:
            yield from _flatten_errors(inner, path)
    elif isinstance(error, FieldError):
        field = f"{path}.{error.field}".strip(".")
        yield FieldError(field, error.value, error.allowed)
    elif isinstance(error, ForbiddenExtraKeysError):
        for extra in sorted(error.extra_fields):
            field = f"{path}.{extra}".strip(".")
            yield FieldError(field, "present", "no such field")
    elif isinstance(error, KeyError):
        missing = str(error.args[0])
        # For a nested class, cattrs has already added the field to the path.
        is_in_path = path.rpartition(".")[2] == missing
        field = path if is_in_path else f"{path}.{missing}"
        yield FieldError(field, "missing", "required")
    else:
        yield FieldError(path or "-", str(error), "another form")
