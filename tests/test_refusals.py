"""Tests that refused requests did not run, by the logs of the endpoints."""

import threading
import time

import httpx

from tests import builders
from tests.claimworld import uuid7
from tests.fleet import AUTHORIZATION, Fleet
from tests.helpers import GoldTestCase, wait_until

REPLACED_RECORDS = ("pool/vintner.dc-a", "service/chat", "account/acme")


class SingleRunFleet(Fleet):
    """A deployment with capacity for one generation, to provoke refusals."""

    def records(self):
        engine = builders.endpoint("engine-0", self.engines[0])
        unchanged = [
            r for r in super().records() if r.key not in REPLACED_RECORDS
        ]
        return [
            *unchanged,
            builders.pool("vintner", [engine], max_running=1),
            builders.model("orphan"),
            builders.generate_service(wait_ms=100),
            builders.generate_service("homeless", "orphan"),
            builders.generate_service("secret"),
            builders.account(services=("chat", "homeless", "booking")),
        ]


class RefusalTest(GoldTestCase):
    """Each reason for which a generation is refused before it runs."""

    def test_no_refused_generation_reaches_an_engine(self):
        lines = []
        with SingleRunFleet(entries=2) as fleet:
            entry = f"http://{fleet.entries[0]}"
            url = f"{entry}/v1/completions"

            def log_length():
                return len(httpx.get(f"http://{fleet.engines[0]}/log").json())

            def record_refusal(
                title, url=url, headers=AUTHORIZATION, **content
            ):
                before = log_length()
                response = httpx.post(
                    url, headers=headers, timeout=20, **content
                )
                verdict = response.headers.get("x-verdict", "none")
                problem = response.json()["type"].rpartition(":")[2]
                has_retry_after = "retry-after" in response.headers
                lines.append(
                    f"{title}: {response.status_code} {verdict} {problem}, "
                    f"retry-after {has_retry_after}, "
                    f"engine ran {log_length() - before}"
                )

            valid_request = {"model": "chat", "prompt": "len=2"}
            record_refusal("no JSON", content=b"{")
            record_refusal("bad bound", json=valid_request | {"max_tokens": -1})
            record_refusal(
                "unknown model", json=valid_request | {"model": "none"}
            )
            record_refusal(
                "not allowed", json=valid_request | {"model": "secret"}
            )
            record_refusal(
                "no pool", json=valid_request | {"model": "homeless"}
            )
            record_refusal(
                "unknown path", url=f"{entry}/v1/none", json=valid_request
            )
            record_refusal("no key", headers={}, json=valid_request)
            record_refusal("too large", content=b"x" * (5 << 20))
            record_refusal(
                "opaque idempotency key",
                headers=AUTHORIZATION | {"idempotency-key": "17"},
                json=valid_request,
            )
            record_refusal(
                "stream of another",
                headers=AUTHORIZATION | {"last-event-id": "1-1-x~engine-0:1"},
                json=valid_request,
            )
            fleet.kill("store")
            record_refusal(
                "store down, not repeatable",
                headers=AUTHORIZATION
                | {"idempotency-key": uuid7(int(time.time() * 1000))},
                json=valid_request,
            )
            length_before = log_length()
            long_request = {"model": "chat", "prompt": "len=3000"}
            broken_verdicts = []

            def run_long_generation():
                response = httpx.post(
                    url, json=long_request, headers=AUTHORIZATION, timeout=60
                )
                broken_verdicts.append(response.headers["x-verdict"])

            generation_thread = threading.Thread(target=run_long_generation)
            generation_thread.start()
            wait_until(
                lambda: log_length() > length_before, "a running generation"
            )
            record_refusal("no room in time", json=valid_request)
            fleet.kill("engine-0")
            generation_thread.join()
            lines.append(f"engine killed in a generation: {broken_verdicts[0]}")
        self.assert_gold("refusals-generation", "\n".join(lines) + "\n")
