"""Tests the decoding of the platform's documents, also malformed ones."""

import unittest

import orjson

from rhubarbwinch.gateway.endpoints import EndpointState
from rhubarbwinch.gateway.routes import CallKind
from rhubarbwinch.platform import documents
from rhubarbwinch.shared.exceptions import PlatformFormatError

ENDPOINT = {
    "service": "s1",
    "address": "10.0.0.9:80",
    "zone": "z1",
    "version": "v1",
    "slots": 24,
    "state": "ready",
    "cold_remaining_ms": 250,
    "sequence": 4,
    "born": 1_786_000_000_000,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "H.example",
            "prefix": "/a/",
            "kind": "stream",
            "timeout_ms": 39_000,
            "target_latency_ms": 1_800,
            "target_gap_ms": 180,
            "priority": 1,
            "traffic_split": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
            "max_attempts": 1,
            "public": False,
            "sticky": True,
            "resumable": False,
        },
        {
            "name": "r2",
            "host": "h.example",
            "prefix": "/b/",
            "kind": "of another kind",
            "service": "s2",
        },
    ],
    "services": [
        {
            "name": "s1",
            "max_connections": 282,
            "engine": {
                "slots": 24,
                "kv_tokens": 34_261,
                "kv_bytes": 35_136,
                "link_mbps": 5_100.0,
                "moves": True,
                "stride": 4,
            },
        },
        {"name": "s2", "max_connections": 110},
    ],
    "limits": {"max_header_bytes": 999, "idle_timeout_ms": 4_000},
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 3}],
}


def _bytes(document, **fields):
    return orjson.dumps(document | fields)


class EndpointTest(unittest.TestCase):
    """The registration documents of endpoints."""

    def test_a_registration_is_read(self):
        found = documents.decode_endpoint("i-1", _bytes(ENDPOINT))
        self.assertEqual(found.id, "i-1")
        self.assertEqual(found.data_center, "z1")
        self.assertEqual(found.warmup_ms, 250)
        self.assertIs(found.state, EndpointState.READY)
        self.assertEqual(found.incarnation, ("i-1", 1_786_000_000_000))

    def test_a_malformed_registration_is_rejected(self):
        bad = [
            b"",
            b"\xff\x00",
            b"[]",
            b'"ready"',
            _bytes(ENDPOINT, state="resting"),
            _bytes(ENDPOINT, state=None),
            _bytes(ENDPOINT, slots="24"),
            _bytes(ENDPOINT, slots=True),
            _bytes(ENDPOINT, slots=-1),
            _bytes(ENDPOINT, address="somewhere"),
            _bytes(ENDPOINT, address=["10.0.0.9:80"]),
            _bytes(ENDPOINT, service=7),
            _bytes(ENDPOINT, cold_remaining_ms="soon"),
            _bytes(ENDPOINT, born=1.5),
            _bytes(ENDPOINT, version=3),
            orjson.dumps({"address": "10.0.0.9:80"}),
        ]
        for data in bad:
            with self.assertRaises(PlatformFormatError, msg=data):
                documents.decode_endpoint("i-1", data)

    def test_new_fields_are_ignored(self):
        documents.decode_endpoint("i-1", _bytes(ENDPOINT, colour="red"))


class ConfigTest(unittest.TestCase):
    """The configuration document."""

    def test_a_version_is_read(self):
        table = documents.decode_config(orjson.dumps(CONFIG))
        stream = table.find_route("h.example", "/a/x")
        self.assertIs(stream.kind, CallKind.STREAM)
        self.assertEqual(stream.max_event_gap_ms, 180)
        self.assertEqual([t.weight for t in stream.targets], [90, 10])
        self.assertEqual(table.accounts["k2"].name, "t1")
        self.assertEqual(table.accounts["k2"].priority, 3)
        self.assertEqual(table.limits.max_head_bytes, 999)
        self.assertEqual(table.limits.idle_timeout_ms, 4_000)
        self.assertEqual(table.services["s1"].engine.kv_tokens, 34_261)
        self.assertIsNone(table.services["s2"].engine)

    def test_a_route_of_an_unknown_kind_is_not_repeatable(self):
        table = documents.decode_config(orjson.dumps(CONFIG))
        found = table.find_route("h.example", "/b/")
        self.assertIs(found.kind, CallKind.NON_IDEMPOTENT)
        self.assertEqual(found.max_attempts, 1)

    def test_without_accounts_no_request_needs_a_key(self):
        document = {k: v for k, v in CONFIG.items() if k != "tenants"}
        self.assertFalse(
            documents.decode_config(orjson.dumps(document)).requires_key
        )

    def test_a_malformed_document_is_rejected(self):
        for data in (b"{", b"[]", b'{"version": 1}', b'{"routes": 3}'):
            with self.assertRaises(PlatformFormatError, msg=data):
                documents.decode_config(data)


class ReportTest(unittest.TestCase):
    """The report document of engines."""

    def test_a_report_is_read(self):
        report = {"stage": "hybrid", "active_requests": 3}
        found = documents.decode_report(
            _bytes(report, state="draining", leaves_ms=1_900.5)
        )
        self.assertEqual(found.leaves_ms, 1_900)
        self.assertTrue(found.is_leaving)
        self.assertIsNone(documents.decode_report(_bytes(report)).leaves_ms)
