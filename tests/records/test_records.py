"""Tests of the rules of records and of old, current and newer schemas."""

import json
import unittest

from rhubarbwinch.records import records
from rhubarbwinch.records.records import Record
from rhubarbwinch.shared.exceptions import RecordError
from tests import builders
from tests.helpers import ROOT


def _only_error(record):
    """Returns the field, value and allowed values of a record's only error."""
    found = records.errors(record)
    if len(found) != 1 or found[0].record != record.key:
        raise AssertionError(found)
    return found[0].field, found[0].value, found[0].allowed


class ValidatorTest(unittest.TestCase):
    """The allowed values of fields."""

    def test_an_error_names_field_value_and_range(self):
        name = "1 to 63 of a-z, 0-9, dot and dash"
        desk = builders.endpoint("desk", "nowhere:1")
        cases = [
            (builders.model(context_tokens=-1), "context_tokens", -1),
            (builders.model(context_tokens=10**30), "context_tokens", 10**30),
            (builders.pool("Upper", []), "target", "Upper"),
            (builders.pool("a", [desk]), "endpoints.0.address", "nowhere:1"),
            (builders.account(room={"tokens": -5}), "room.tokens", -5),
            (builders.account(weight=0), "weight", 0.0),
            (builders.generate_service(kind="odd"), "kind", "odd"),
        ]
        allowed = [
            "16 to 10000000",
            "16 to 10000000",
            name,
            "IP number:port",
            "0 to 1000000000000",
            "0.01 to 1000",
            "generate, plain",
        ]
        for (record, field, value), wanted in zip(cases, allowed, strict=True):
            self.assertEqual(_only_error(record), (field, value, wanted))

    def test_types_are_not_converted(self):
        for value in ("16", 16.5, True, None, [16]):
            field, found, _ = _only_error(builders.model(context_tokens=value))
            self.assertEqual((field, found), ("context_tokens", value))

    def test_unknown_and_missing_fields_are_named(self):
        self.assertEqual(
            _only_error(builders.model(colour="red")),
            ("colour", "present", "no such field"),
        )
        self.assertEqual(
            _only_error(Record("service", "s", 2, {"kind": "plain"})),
            ("target", "missing", "required"),
        )

    def test_every_error_of_a_record_is_found(self):
        record = builders.generate_service(kind="odd", wait_ms=-1, colour="red")
        fields = {error.field for error in records.errors(record)}
        self.assertEqual(fields, {"kind", "wait_ms", "colour"})

    def test_a_pool_has_at_most_64_endpoints(self):
        many = [builders.endpoint(f"e{i}") for i in range(65)]
        self.assertEqual(_only_error(builders.pool("a", many))[2], "at most 64")
        self.assertEqual(records.errors(builders.pool("a", many[1:])), [])

    def test_invalid_records_are_refused(self):
        good = json.loads(builders.model().to_bytes())
        for field, value in (
            ("kind", "planet"),
            ("name", "No Name"),
            ("schema", 0),
            ("schema", "2"),
            ("spec", []),
        ):
            with self.assertRaises(RecordError) as caught:
                records.parse(good | {field: value})
            self.assertEqual(caught.exception.field, field)
        for data in (b"", b"{", b"[]", b"\xff", b"x" * (257 << 10)):
            self.assertRaises(RecordError, records.parse, data)


class SchemaTest(unittest.TestCase):
    """Schema versions that are in use at the same time."""

    def test_schema_1_is_read_as_schema_2(self):
        pairs = [
            (
                Record(
                    "account",
                    "a",
                    1,
                    {
                        "key_salt": "00",
                        "key_hash": "ff",
                        "max_requests": 3,
                        "max_tokens": 9,
                    },
                ),
                {
                    "keys": [{"salt": "00", "digest": "ff"}],
                    "room": {"requests": 3, "tokens": 9},
                },
            ),
            (
                Record(
                    "service",
                    "s",
                    1,
                    {"kind": "plain", "target": "t", "idempotent": False},
                ),
                {"kind": "plain", "target": "t", "not_repeatable": ["POST /*"]},
            ),
            (Record("model", "m", 1, {"version": "7"}), {"versions": ["7"]}),
        ]
        for old, spec in pairs:
            new = Record(old.kind, old.name, 2, spec)
            self.assertEqual(records.check(old), records.check(new))

    def test_a_newer_schema_is_kept_byte_for_byte_but_not_used(self):
        newer = Record("model", "m", 3, {"z": 1, "a": {"deep": [1, 2]}})
        again = records.parse(newer.to_bytes())
        self.assertEqual(again.to_bytes(), newer.to_bytes())
        self.assertEqual(_only_error(again), ("schema", 3, "1 to 2"))

    def test_the_examples_are_valid_and_use_both_schemas(self):
        import tomllib

        for path in sorted((ROOT / "examples").glob("k*.toml")):
            items = tomllib.loads(path.read_text())["record"]
            found = [records.parse(item) for item in items]
            self.assertEqual(
                [records.errors(r) for r in found if records.errors(r)], []
            )
            self.assertEqual({r.schema for r in found}, {1, 2})
            kinds = [r.kind for r in found]
            self.assertEqual(
                (kinds.count("pool"), kinds.count("account")), (6, 10)
            )
            endpoints = [
                e
                for r in found
                if r.kind == "pool"
                for e in r.spec["endpoints"]
            ]
            self.assertEqual(len(endpoints), 9)
