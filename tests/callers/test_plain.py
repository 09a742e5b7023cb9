"""Tests of plain service calls through processes that get real signals."""

import datetime
import json
import signal
import subprocess
import sys
import threading
import time
import unittest

import httpx

from rhubarbwinch.shared.verdict import Reason, not_run
from tests import builders
from tests.claimworld import World, uuid7
from tests.fleet import AUTHORIZATION, Fleet
from tests.helpers import ROOT, GoldTestCase, asynchronous, wait_until

SLOW_MS = 1500
REPLACED_RECORDS = ("service/booking", "account/acme")


class BookingFleet(Fleet):
    """A deployment whose booking calls are not repeatable."""

    def records(self):
        return [
            *(r for r in super().records() if r.key not in REPLACED_RECORDS),
            builders.plain_service(not_repeatable=["POST /book"]),
            builders.generate_service(
                "draft", not_repeatable=["POST /v1/completions"]
            ),
            builders.account(services=("chat", "booking", "draft")),
        ]

    def book(self, entry, key, delay_ms=0):
        """Makes a booking call.

        Returns:
            The status and the verdict; None if the connection broke.
        """
        url = f"http://{self.entries[entry]}/services/booking/book"
        headers = AUTHORIZATION | {"idempotency-key": key}
        try:
            response = httpx.post(
                f"{url}?delay_ms={delay_ms}",
                headers=headers,
                json={},
                timeout=20,
            )
        except httpx.HTTPError:
            return None
        verdict = response.headers.get("x-verdict", "ran")
        return f"{response.status_code} {verdict}"

    def ran(self, key):
        """Returns how often the endpoint ran the call with a key."""
        log = httpx.get(f"http://{self.service}/log").json()
        return [call["key"] for call in log].count(key)

    def audit(self, listed):
        """Returns the audit's rows for the hours around the current time."""
        now = datetime.datetime.now(datetime.UTC).replace(
            minute=0, second=0, microsecond=0
        )
        hour = datetime.timedelta(hours=1)
        command = [sys.executable, "-m", "rhubarbwinch", "ctl"]
        command += ["--store", self.store, "--output", "json", "audit", listed]
        command += ["--from", (now - hour).isoformat()]
        command += ["--to", (now + 2 * hour).isoformat()]
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, check=True
        )
        return json.loads(done.stdout)

    def faults(self, **fields):
        """Sets the faults that the store stand-in injects."""
        httpx.post(f"http://{self.store}/faults", json=fields)


class PlainTest(GoldTestCase):
    """At-most-once calls through processes that are killed or paused."""

    def test_a_booking_runs_at_most_once_through_real_failures(self):
        now = int(time.time() * 1000)
        keys = [uuid7(now, number) for number in range(5)]
        lines = []
        with BookingFleet(entries=3) as fleet:
            lines.append(f"plain: {fleet.book(0, keys[0])}")
            lines.append(f"again at another: {fleet.book(1, keys[0])}")

            fleet.faults(down=True)
            lines.append(f"store down: {fleet.book(0, keys[1])}")
            lines.append(f"ran {fleet.ran(keys[1])}")
            fleet.faults(down=False, lose_answers=1)
            lines.append(f"store's answer lost: {fleet.book(0, keys[1])}")
            lines.append(f"ran {fleet.ran(keys[1])}")

            lines.append("# entry-0 killed in the call")
            self._start(fleet, keys[2])
            fleet.kill("entry-0")
            lines.append(f"retry: {fleet.book(1, keys[2], SLOW_MS)}")
            lines.append(f"ran {fleet.ran(keys[2])}")

            lines.append("# entry-2 paused in the call, then woken")
            paused = self._start(fleet, keys[3], entry=2)
            fleet.signal("entry-2", signal.SIGSTOP)
            lines.append(f"retry: {fleet.book(1, keys[3], SLOW_MS)}")
            fleet.signal("entry-2", signal.SIGCONT)
            paused.join()
            fleet.book(1, keys[3], SLOW_MS)
            lines.append(f"ran {fleet.ran(keys[3])}")

            lines.append("# the audit")
            rows = fleet.audit("calls")
            for row in rows:
                listed = fleet.ran(row["key"])
                lines.append(f"key {keys.index(row['key'])}: ran {listed}")
                sure = row["ran"] == "yes" or listed <= 1
                self.assertTrue(sure, row)
            self.assertEqual(len(rows), 4)
        self.assert_gold("claims-processes", "\n".join(lines) + "\n")

    def test_a_generation_that_is_not_repeatable_runs_once(self):
        key = uuid7(int(time.time() * 1000), 1)
        lines = []
        with BookingFleet(entries=2) as fleet:
            for entry, headers in (
                (0, {}),
                (0, {"idempotency-key": key}),
                (1, {"idempotency-key": key}),
            ):
                response = httpx.post(
                    f"http://{fleet.entries[entry]}/v1/completions",
                    json={"model": "draft", "prompt": "len=7"},
                    headers=AUTHORIZATION | headers,
                    timeout=20,
                )
                again = response.headers.get("idempotency-replayed", "")
                lines.append(f"{response.status_code} recorded {again or 'no'}")
            log = httpx.get(f"http://{fleet.engines[0]}/log").json()
            runs = [row for row in log if row["tokens"] == 7]
            lines.append(f"engine ran {len(runs)}")
            rows = fleet.audit("calls")
            lines += [f"audit: {r['service']} ran {r['ran']}" for r in rows]
            wait_until(lambda: _draft_tokens(fleet), "the counters")
            lines.append(f"audit: tokens {_draft_tokens(fleet)}")
        self.assert_gold("claims-generation", "\n".join(lines) + "\n")

    def _start(self, fleet, key, entry=0):
        """Starts a slow call and waits until the endpoint runs it."""
        call = threading.Thread(target=fleet.book, args=(entry, key, SLOW_MS))
        call.start()
        wait_until(lambda: fleet.ran(key), "the call")
        return call


def _draft_tokens(fleet):
    """Returns the number of tokens that the audit lists for drafts."""
    rows = fleet.audit("tokens")
    return sum(row["tokens"] for row in rows if row["service"] == "draft")


class RetriedCallTest(unittest.TestCase):
    """A repeatable call whose first attempt broke after it was sent."""

    async def _response_to_retry(self, fail_retry):
        """Returns the response to a call whose endpoint dies at first.

        Args:
            fail_retry: Called before the second attempt, to make it fail.

        Returns:
            The response's verdict and reason, and how often the call ran.
        """
        async with World() as world:
            entry = world.entries[0]
            world.counting_endpoint.dies = True
            acquire_from_any = entry.permits.acquire_from_any

            async def acquire(request, pools, new_id):
                if request.avoid:
                    fail_retry(world, entry)
                return await acquire_from_any(request, pools, new_id)

            entry.permits.acquire_from_any = acquire
            response = await world.call(0, path="/services/booking/slots")
            return response, len(world.counting_endpoint.ran)

    @asynchronous
    async def test_a_retry_without_a_permit_still_may_have_run(self):
        def refuse(_, entry):
            entry.permits.failure = not_run(Reason.QUEUE_FULL, "full")

        response, ran = await self._response_to_retry(refuse)
        self.assertEqual(ran, 1)
        self.assertEqual(response, "may-have-run endpoint-failed")

    @asynchronous
    async def test_unsent_retries_keep_the_first_attempts_verdict(self):
        def go_away(world, _):
            world.counting_endpoint.refuses = 9

        response, ran = await self._response_to_retry(go_away)
        self.assertEqual(ran, 1)
        self.assertEqual(response, "may-have-run endpoint-failed")
