"""Tests that refused requests did not run, by the logs of the endpoints."""

import threading
import time

import httpx

from tests import builders
from tests.claimworld import uuid7
from tests.fleet import AUTHORIZATION, Fleet
from tests.helpers import GoldTestCase, wait_until

REPLACED = ("pool/vintner.dc-a", "service/chat", "account/acme")


class Narrow(Fleet):
    """A deployment with capacity for one generation, to provoke refusals."""

    def records(self):
        engine = builders.endpoint("engine-0", self.engines[0])
        kept = [r for r in super().records() if r.key not in REPLACED]
        return [
            *kept,
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
        with Narrow(entries=2) as fleet:
            entry = f"http://{fleet.entries[0]}"
            url = f"{entry}/v1/completions"

            def log():
                return len(httpx.get(f"http://{fleet.engines[0]}/log").json())

            def refuse(title, url=url, headers=AUTHORIZATION, **content):
                before = log()
                answer = httpx.post(url, headers=headers, timeout=20, **content)
                told = answer.headers.get("x-verdict", "none")
                problem = answer.json()["type"].rpartition(":")[2]
                again = "retry-after" in answer.headers
                lines.append(
                    f"{title}: {answer.status_code} {told} {problem}, "
                    f"retry-after {again}, engine ran {log() - before}"
                )

            good = {"model": "chat", "prompt": "len=2"}
            refuse("no JSON", content=b"{")
            refuse("bad bound", json=good | {"max_tokens": -1})
            refuse("unknown model", json=good | {"model": "none"})
            refuse("not allowed", json=good | {"model": "secret"})
            refuse("no pool", json=good | {"model": "homeless"})
            refuse("unknown path", url=f"{entry}/v1/none", json=good)
            refuse("no key", headers={}, json=good)
            refuse("too large", content=b"x" * (5 << 20))
            refuse(
                "opaque idempotency key",
                headers=AUTHORIZATION | {"idempotency-key": "17"},
                json=good,
            )
            refuse(
                "stream of another",
                headers=AUTHORIZATION | {"last-event-id": "1-1-x~engine-0:1"},
                json=good,
            )
            fleet.kill("store")
            refuse(
                "store down, not repeatable",
                headers=AUTHORIZATION
                | {"idempotency-key": uuid7(int(time.time() * 1000))},
                json=good,
            )
            count = log()
            long = {"model": "chat", "prompt": "len=3000"}
            broken = []

            def hold():
                answer = httpx.post(
                    url, json=long, headers=AUTHORIZATION, timeout=60
                )
                broken.append(answer.headers["x-verdict"])

            holder = threading.Thread(target=hold)
            holder.start()
            wait_until(lambda: log() > count, "a running generation")
            refuse("no room in time", json=good)
            fleet.kill("engine-0")
            holder.join()
            lines.append(f"engine killed in a generation: {broken[0]}")
        self.assert_gold("refusals-generation", "\n".join(lines) + "\n")
