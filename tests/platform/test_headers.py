"""Tests the encoding and decoding of the platform's HTTP heads."""

import unittest

from rhubarbwinch.gateway.platforminterface import (
    AttemptOptions,
    KvCacheLocation,
)
from rhubarbwinch.platform import headers
from rhubarbwinch.shared.exceptions import BadCallError

HEAD = [
    (b"Host", b"H.example:8080"),
    (b"Attempt-Id", b"a1"),
    (b"Model", b"m"),
    (b"Token-Usage", b"1460,80"),
    (b"Prefix-Hash", b"aa:800,bb:660"),
    (b"Deadline-Ms", b"39000"),
    (b"Authorization", b"Bearer k1"),
    (b"X-Own", b"kept"),
]


def _decode(*more, without=()):
    found = [(n, v) for n, v in HEAD if n not in without]
    return headers.decode_call("POST", b"/a/b?c=%20d", [*found, *more])


def _sent(call, **options):
    base = {"endpoint_id": "i-1", "account": "t1", "time_left_ms": 777}
    found = headers.endpoint_headers(
        call, AttemptOptions(**(base | options)), 5
    )
    return {n.lower(): v for n, v in found}


class CallTest(unittest.TestCase):
    """Request heads."""

    def test_a_head_is_read(self):
        call = _decode(
            (b"Length-Hint", b"40"),
            (b"Last-Event-Id", b"9"),
            (b"Resumes", b"a0"),
        )
        self.assertEqual(call.host, "h.example")
        self.assertEqual(call.path, "/a/b")
        self.assertEqual(call.request_id, "a1")
        self.assertEqual(call.api_key, "k1")
        self.assertEqual(call.deadline_ms, 39_000)
        self.assertEqual(
            (call.prompt_tokens, call.max_output_tokens), (1_460, 80)
        )
        self.assertEqual(call.estimated_output_tokens, 40)
        self.assertEqual(call.last_event_id, "9")
        self.assertEqual(call.prompt_parts, ("aa", "bb"))
        self.assertEqual(call.resumed_id, "a0")
        self.assertIn((b"Resumes", b"a0"), call.headers)

    def test_parts_of_a_prompt_that_are_malformed_are_left_out(self):
        for text, parts in (
            ("", ()),
            (" 5C:8 , 91 ,:7,", ("5c", "91")),
        ):
            call = _decode(
                (b"Prefix-Hash", text.encode()), without=(b"Prefix-Hash",)
            )
            self.assertEqual(call.prompt_parts, parts)

    def test_a_head_without_one_id_and_one_host_is_refused(self):
        for change in (
            {"without": (b"Attempt-Id",)},
            {"without": (b"Host",)},
        ):
            with self.assertRaises(BadCallError):
                _decode(**change)
        for more in ((b"Attempt-Id", b"a2"), (b"Host", b"x")):
            with self.assertRaises(BadCallError):
                _decode(more)
        with self.assertRaises(BadCallError):
            _decode((b"Deadline-Ms", b"soon"), without=(b"Deadline-Ms",))

    def test_reserved_headers_of_a_caller_are_dropped(self):
        forged = [
            (b"Tenant", b"rich"),
            (b"Expect-Instance", b"i-9"),
            (b"Expect-Version", b"4"),
            (b"Kv-Hold", b"h"),
            (b"Pin-Ms", b"9"),
            (b"Kv-Backup", b"1.2.3.4:5"),
            (b"Kv-From", b"1.2.3.4:5/x"),
            (b"Kv-Fetch", b"1.2.3.4:5"),
            (b"Request-Priority", b"0"),
            (b"Connection", b"close, X-Hop"),
            (b"X-Hop", b"1"),
            (b"Transfer-Encoding", b"chunked"),
        ]
        sent = _sent(_decode(*forged))
        self.assertEqual(sent[b"tenant"], b"t1")
        self.assertEqual(sent[b"expect-instance"], b"i-1")
        self.assertEqual(sent[b"deadline-ms"], b"777")
        for name in (
            b"authorization",
            b"kv-hold",
            b"pin-ms",
            b"kv-backup",
            b"kv-from",
            b"kv-fetch",
            b"request-priority",
            b"expect-version",
            b"x-hop",
            b"connection",
            b"transfer-encoding",
        ):
            self.assertNotIn(name, sent)

    def test_other_headers_are_relayed_unchanged(self):
        sent = _sent(_decode())
        for name, value in HEAD[:5]:
            self.assertEqual(sent[name.lower()], value)
        self.assertEqual(sent[b"x-own"], b"kept")
        self.assertEqual(sent[b"content-length"], b"5")

    def test_a_resumed_run_names_its_kv_cache_and_last_event(self):
        sent = _sent(
            _decode(),
            last_event_id="12",
            resume_from=KvCacheLocation("10.0.0.1:80", "h7"),
        )
        self.assertEqual(sent[b"kv-from"], b"10.0.0.1:80/h7")
        self.assertEqual(sent[b"last-event-id"], b"12")


class ResponseTest(unittest.TestCase):
    """Response heads."""

    def test_only_the_header_or_status_421_means_not_run(self):
        for status, more, expected in (
            (503, [(b"Not-Executed", b"1")], True),
            (400, [(b"Not-Executed", b"1")], True),
            (421, [], True),
            (503, [], False),
            (429, [], False),
            (200, [], False),
        ):
            found = headers.decode_response(status, more)
            self.assertEqual(found.is_refusal, expected, (status, more))
            # A refusal of a full endpoint would else exclude that endpoint.
            self.assertEqual(found.is_endpoint_gone, status == 421, status)

    def test_a_declared_rate_limit_is_read(self):
        for value, expected in (
            (b"1.1", 1.1),
            (b"1.0833333333333333", 1.0833333333333333),
            (b".5", 0.5),
            (b"3.", 3.0),
            (b"0", 0.0),
            (b" 12 ", 12.0),
            (b"-1", None),
            (b"nan", None),
            (b"1e9", None),
            (b"", None),
            (b"1,2", None),
        ):
            found = headers.decode_response(
                200, [(b"Server-Signature", b"s"), (b"Server-Limit", value)]
            )
            self.assertEqual(found.declared.rate_limit, expected, value)
            self.assertIn((b"Server-Limit", value), found.headers)

    def test_a_declared_pause_is_read(self):
        for status, value, expected in (
            (503, b"1.5", 1_500),
            (503, b"0", 0),
            (503, b"-3", 0),
            (503, b"Wed, 21 Oct 2026 07:28:00 GMT", 0),
            (503, b"soon", 0),
            (503, b"99999999", 99_999_999_000),
            (429, b"5", 0),
        ):
            found = headers.decode_response(
                status, [(b"Not-Executed", b"1"), (b"Retry-After", value)]
            )
            self.assertEqual(found.declared.pause_ms, expected, value)

    def test_a_declared_leaving_is_read(self):
        for more, expected in (
            ([(b"Server-Leaving", b"1")], True),
            ([(b"Server-Leaving", b"0")], False),
            ([], False),
        ):
            found = headers.decode_response(
                200, [(b"Server-Signature", b"s"), *more]
            )
            self.assertEqual(found.declared.is_leaving, expected, more)

    def test_a_response_of_another_endpoint_declares_nothing(self):
        limit = (b"Server-Limit", b"1")
        for status, more in ((421, [(b"Not-Executed", b"1")]), (200, [])):
            found = headers.decode_response(status, [*more, limit])
            self.assertIsNone(found.declared, status)

    def test_a_response_with_an_encoding_is_altered(self):
        found = headers.decode_response(200, [(b"Content-Encoding", b"gzip")])
        self.assertTrue(found.is_altered)

    def test_a_response_to_another_request_is_recognised(self):
        self.assertTrue(headers.is_response_to("a", [(b"Attempt-Id", b"a")]))
        self.assertTrue(headers.is_response_to("a", []))
        self.assertFalse(headers.is_response_to("a", [(b"Attempt-Id", b"b")]))

    def test_the_id_of_an_event_may_be_on_any_line(self):
        event = b"weight-versions: 2\nid: 17\ndata: x\n\n"
        self.assertEqual(headers.event_id(event), "17")
        self.assertIsNone(headers.event_id(b"data: id\n\n"))

    def test_a_failure_response_has_a_retry_after_header(self):
        found = dict(headers.failure_headers("a1", 250))
        self.assertEqual(found[b"Retry-After"], b"0.250")
        self.assertNotIn(
            b"Retry-After", dict(headers.failure_headers("", None))
        )
