"""Bad input to the real programs: each gets a problem with its verdict."""

import json
import socket

import httpx

from rhubarbwinch.callers import apicatalogue
from tests import builders
from tests.fleet import AUTHORIZATION, Fleet
from tests.helpers import GoldTestCase, free_address, wait_until

STRICT = ("--max-body-bytes", "2048", "--body-timeout-ms", "300")
STRICT += ("--resume-grace-ms", "0")
COMPLETIONS = "/v1/completions"


class BadInputTest(GoldTestCase):
    """Bad input to one deployment; after each test a good call succeeds."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = cls.enterClassContext(Fleet())
        cls.address = free_address()
        cls.fleet.start_role("entry", "strict", cls.address, *STRICT)
        cls.fleet.wait_ready(cls.address)

    def tearDown(self):
        self.assertEqual(self._post(self._call()).status_code, 200)

    def _call(self, **fields):
        body = {"model": "chat", "prompt": "len=2"} | fields
        return json.dumps(body).encode()

    def _post(self, body, path=COMPLETIONS, headers=None):
        url = f"http://{self.address}{path}"
        headers = AUTHORIZATION if headers is None else headers
        return httpx.post(url, content=body, headers=headers, timeout=20)

    def _assert_problem(self, response, status, reason, verdict="not-run"):
        self.assertEqual(response.status_code, status, response.text)
        data = response.json()
        kind = response.headers["content-type"]
        self.assertEqual(kind, "application/problem+json")
        self.assertEqual(response.headers["x-verdict"], verdict)
        self.assertEqual(data["verdict"], verdict)
        self.assertEqual(data["status"], status)
        self.assertEqual(data["type"], f"urn:rhubarbwinch:problem:{reason}")
        self.assertLess(len(data["detail"]), 400)

    def _exchange(self, data):
        """Sends raw bytes and returns the complete response."""
        host, port = self.address.split(":")
        with socket.create_connection((host, int(port)), 20) as raw:
            raw.sendall(data)
            response = b""
            while part := raw.recv(65_536):
                response += part
                if b"\r\n\r\n" in response and b"content-length" in response:
                    head, _, body = response.partition(b"\r\n\r\n")
                    length = head.lower().partition(b"content-length: ")[2]
                    if len(body) >= int(length.split(b"\r\n")[0]):
                        break
        return response

    def test_malformed_bodies_are_refused(self):
        bad = [
            b"",
            b"{",
            b"[1]",
            b"null",
            b'{"model": 7}',
            b"[" * 2000,
            b'{"model": "chat", "prompt": "\xff\xfe"}',
            b'{"model": "chat", "max_tokens": NaN}',
            b'{"model": "chat", "max_tokens": 1e400}',
        ]
        for body in bad:
            self._assert_problem(self._post(body), 400, "bad-request")

    def test_numbers_out_of_range_are_refused(self):
        bad = [
            {"max_tokens": -1},
            {"max_tokens": 0},
            {"max_tokens": 10**9},
            {"max_tokens": 10**30},
            {"max_tokens": 1.5},
            {"max_tokens": True},
            {"max_tokens": "8"},
            {"n": 2},
            {"temperature": -0.1},
            {"top_p": 1e300},
        ]
        for fields in bad:
            response = self._post(self._call(**fields))
            self._assert_problem(response, 400, "bad-request")
            self.assertIn(next(iter(fields)), response.json()["detail"])

    def test_a_body_over_the_limit_is_refused(self):
        response = self._post(self._call(prompt="x" * 4096))
        self._assert_problem(response, 413, "too-large")

    def test_unknown_names_are_refused(self):
        response = self._post(self._call(model="no" * 900))
        self._assert_problem(response, 404, "not-found")
        response = self._post(b"", "/services/none/x")
        self._assert_problem(response, 404, "not-found")
        response = self._post(b"", "/nowhere")
        self._assert_problem(response, 404, "not-found")

    def test_wrong_keys_are_refused(self):
        for key in ("", "Bearer", "Bearer acme.wrong", "Basic acme.secret"):
            headers = {"authorization": key} if key else {}
            response = self._post(self._call(), headers=headers)
            self._assert_problem(response, 401, "unauthenticated")

    def test_a_bad_last_event_id_is_refused(self):
        for last in ("x", "a~b:-1", "a~b:", "~:1x"):
            headers = AUTHORIZATION | {"last-event-id": last}
            response = self._post(self._call(), headers=headers)
            self._assert_problem(response, 400, "bad-request")
        headers = AUTHORIZATION | {"last-event-id": "1-2-3~engine-0:1"}
        response = self._post(self._call(), headers=headers)
        self._assert_problem(response, 403, "forbidden")

    def test_headers_too_large_are_refused(self):
        padding = b"x: " + b"y" * 100_000
        response = self._exchange(
            b"POST /v1/completions HTTP/1.1\r\nhost: a\r\n" + padding
        )
        self.assertIn(response.split(b" ")[1], (b"400", b"431"))

    def test_input_that_is_not_http_is_refused(self):
        response = self._exchange(b"\xff\x00 nonsense\r\n\r\n")
        self.assertEqual(response.split(b" ")[1], b"400")

    def test_a_path_that_is_not_utf8_is_refused(self):
        key = AUTHORIZATION["authorization"].encode()
        response = self._exchange(
            b"GET /services/%ff%fe/x HTTP/1.1\r\nhost: a\r\n"
            b"authorization: " + key + b"\r\n\r\n"
        )
        self.assertEqual(response.split(b" ")[1], b"404", response)

    def test_a_caller_that_stops_sending_is_refused(self):
        response = self._exchange(
            b"POST /v1/completions HTTP/1.1\r\nhost: a\r\n"
            b"content-length: 100\r\n\r\n{"
        )
        self.assertEqual(response.split(b" ")[1], b"408", response)
        self.assertIn(b"x-verdict: not-run", response.lower())

    def test_a_disconnected_caller_frees_its_engine(self):
        body = self._call(prompt="len=4000", stream=True)
        url = f"http://{self.address}{COMPLETIONS}"
        with httpx.stream("POST", url, content=body, headers=AUTHORIZATION):
            wait_until(lambda: self._running_count() == 1, "the start")
        wait_until(lambda: self._running_count() == 0, "the end")

    def test_a_session_of_bad_input_reaches_no_endpoint(self):
        key = AUTHORIZATION
        good = self._call()
        before = self._request_count()
        session = [
            ("no JSON", self._post(b"{")),
            ("invalid UTF-8", self._post(b'{"model": "\xff"}')),
            ("a negative number", self._post(self._call(max_tokens=-1))),
            ("a huge number", self._post(self._call(max_tokens=10**40))),
            ("a body over the limit", self._post(b"x" * 4096)),
            ("an unknown model", self._post(self._call(model="none"))),
            ("an unknown service", self._post(good, "/services/none/x")),
            ("an unknown path", self._post(good, "/v2/none")),
            ("no key", self._post(good, headers={})),
            (
                "a wrong key",
                self._post(good, headers={"authorization": "Bearer acme.x"}),
            ),
            (
                "another account's stream",
                self._post(good, headers=key | {"last-event-id": "1-1-1~e:1"}),
            ),
        ]
        lines = []
        for title, response in session:
            data = response.json()
            kind = data["type"].rpartition(":")[2]
            lines.append(f"# {title}")
            lines.append(f"{response.status_code} {kind} {data['verdict']}")
        lines.append(
            f"calls that reached an engine: {self._request_count() - before}"
        )
        self.assert_gold("bad-input", "\n".join(lines) + "\n")

    def _request_count(self):
        engine = self.fleet.engines[0]
        return len(httpx.get(f"http://{engine}/log").json())

    def _running_count(self):
        engine = self.fleet.engines[0]
        return httpx.get(f"http://{engine}/load").json()["running"]

    def test_a_caller_that_does_not_read_blocks_no_other(self):
        body = self._call(prompt="len=4000", stream=True)
        url = f"http://{self.address}{COMPLETIONS}"
        with httpx.stream(
            "POST", url, content=body, headers=AUTHORIZATION
        ) as unread:
            for _ in range(3):
                response = self._post(self._call(prompt="len=5"))
                self.assertEqual(response.status_code, 200)
            self.assertEqual(unread.status_code, 200)

    def test_an_unknown_schema_does_not_change_the_active_configuration(self):
        newer = builders.model(name="later")
        newer = builders.Record("model", "later", 99, newer.spec)
        self.assertEqual(self.fleet.apply([newer]), 3)

    def test_each_request_of_the_catalogue_has_a_route(self):
        for operation in apicatalogue.OPERATIONS:
            method = operation.method.replace("ANY", "PUT")
            path = operation.path.replace("<service>/<path>", "booking/slots")
            url = f"http://{self.address}{path}"
            response = httpx.request(method, url, headers=AUTHORIZATION)
            self.assertNotEqual(response.status_code, 404, operation)

    def test_probes_answer(self):
        for path in ("/healthz", "/readyz"):
            response = httpx.get(f"http://{self.address}{path}")
            self.assertEqual(response.status_code, 200)
