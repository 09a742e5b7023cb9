"""Tests of restarts and drains under load, with separate processes."""

import itertools
import json
import signal
import threading
import time

import httpx

from tests.fleet import AUTHORIZATION, Fleet
from tests.helpers import GoldTestCase, free_address, wait_until

VMS = 4
ROLES = ("control", "broker", "entry")
TIMEOUT_S = 20
# Pause after each round over all addresses.
PAUSE_S = 0.1


class VmFleet(Fleet):
    """Four VMs, each with a control, a broker and an entry."""

    def __init__(self):
        super().__init__(entries=VMS, engines=2, speed=2)
        self._other_addresses = [free_address() for _ in range(2 * VMS)]

    def __enter__(self):
        self.start("store", "lab.standins.kvstore", "--listen", self.store)
        for i, address in enumerate(self.engines):
            self.start_engine(f"engine-{i}", address)
        self.start("service", "lab.standins.service", "--listen", self.service)
        wait_until(lambda: httpx.get(f"http://{self.store}/counts"), "store")
        for i in range(VMS):
            self.start_vm(i)
        self.apply(self.records())
        for address in self.entries:
            self.wait_ready(address)
        return self

    def start_vm(self, i):
        """Starts the programs of a VM."""
        self.start_role("control", f"control-{i}", self._other_addresses[i])
        self.start_role("broker", f"broker-{i}", self._other_addresses[VMS + i])
        self.start_role("entry", f"entry-{i}", self.entries[i])

    def restart_vm(self, i):
        """Restarts the programs of a VM; returns the old exit statuses.

        They are stopped with SIGTERM, as the platform does.
        """
        for role in ROLES:
            self.signal(f"{role}-{i}", signal.SIGTERM)
        statuses = [self.wait(f"{role}-{i}") for role in ROLES]
        self.start_vm(i)
        self.wait_ready(self.entries[i])
        return statuses


class Caller(threading.Thread):
    """Sends requests, with retries as in docs/api.md, until `stopping` is set.

    Args:
        addresses: The addresses of entries known at the start.
        refreshes: Whether to reload the addresses every five requests.
        plain: Whether to call the plain service instead of generating.
        tokens: The output length of each generation.
    """

    def __init__(self, addresses, refreshes, plain=False, tokens=30):
        super().__init__()
        self.done = 0
        self.failures = []
        self.stopping = threading.Event()
        self._addresses = list(addresses)
        self._refreshes = refreshes
        self._plain = plain
        self._tokens = tokens
        self._client = httpx.Client(headers=AUTHORIZATION, timeout=TIMEOUT_S)

    def run(self):
        while not self.stopping.is_set():
            if self._refreshes and self.done % 5 == 0:
                self._refresh()
            outcome = self._request()
            if outcome != "whole":
                self.failures.append(outcome)
            self.done += 1

    def _refresh(self):
        for address in self._addresses:
            try:
                response = self._client.get(f"http://{address}/v1/entries")
            except httpx.ConnectError:
                continue
            listed = [e["address"] for e in response.json()["entries"]]
            if listed:
                self._addresses = listed
            return

    def _request(self):
        """Tries the addresses in turn; retries refused connections and NOT_RUN.

        Returns "whole" after a complete response, else what failed.
        """
        last_refusal = "no address"
        deadline = time.monotonic() + TIMEOUT_S
        for i, address in enumerate(itertools.cycle(self._addresses), 1):
            if time.monotonic() > deadline:
                return last_refusal
            if i % len(self._addresses) == 0:
                time.sleep(PAUSE_S)
            try:
                response = self._send(address)
            except httpx.ConnectError:
                continue
            except httpx.HTTPError as error:
                return repr(error)
            if response.headers.get("x-verdict") == "not-run":
                last_refusal = response.text
                continue
            return self._outcome_of(response)
        raise AssertionError("the loop over addresses ended")

    def _send(self, address):
        if self._plain:
            url = f"http://{address}/services/booking/slots"
            return self._client.post(url, json={})
        prompt = f"len={self._tokens}"
        body = {"model": "chat", "prompt": prompt, "stream": True}
        return self._client.post(f"http://{address}/v1/completions", json=body)

    def _outcome_of(self, response):
        if self._plain:
            return "whole" if response.is_success else response.text
        blocks = response.text.strip().split("\n\n")
        is_whole = len(blocks) == self._tokens + 1
        if is_whole and blocks[-1] == "data: [DONE]":
            return "whole"
        return f"{len(blocks)} blocks, the last {blocks[-1]}"


class RollingRestartTest(GoldTestCase):
    """Restarts of entries, brokers and controls while callers use them."""

    def test_a_rolling_restart_under_load_fails_no_request(self):
        lines = ["# A rolling restart of four VMs under load"]
        with VmFleet() as fleet:
            callers = [
                Caller(fleet.entries, refreshes=True, tokens=200),
                Caller(fleet.entries[::-1], refreshes=False, tokens=200),
                Caller(fleet.entries[1:], refreshes=False),
                Caller(fleet.entries, refreshes=True, plain=True),
                Caller(fleet.entries[:2], refreshes=False, plain=True),
            ]
            for caller in callers:
                caller.start()
            try:
                for i in range(VMS):
                    statuses = fleet.restart_vm(i)
                    lines.append(f"VM {i}: exit statuses {statuses}")
            finally:
                for caller in callers:
                    caller.stopping.set()
                for caller in callers:
                    caller.join()
            for i, caller in enumerate(callers):
                lines.append(f"caller {i}: failed {len(caller.failures)}")
                lines += caller.failures[:3]
            all_called = all(caller.done >= VMS for caller in callers)
            lines.append(
                f"each caller made a request for each VM: {all_called}"
            )
        self.assert_gold("rolling-restart", "\n".join(lines) + "\n")

    def test_a_stream_open_at_the_drain_limit_resumes_at_another_entry(self):
        with Fleet(entries=2, engines=1, speed=2) as fleet:
            fleet.signal("entry-1", signal.SIGTERM)
            fleet.wait("entry-1")
            options = ("--drain-ms", "600")
            fleet.start_role("entry", "entry-1", fleet.entries[1], *options)
            fleet.wait_ready(fleet.entries[1])
            body = {"model": "chat", "prompt": "len=200", "stream": True}
            first_part = []
            with httpx.stream(
                "POST",
                f"http://{fleet.entries[1]}/v1/completions",
                json=body,
                headers=AUTHORIZATION,
                timeout=TIMEOUT_S,
            ) as response:
                for line in response.iter_lines():
                    if len(first_part) in (0, 12):
                        # A second SIGTERM must not cut the stream.
                        fleet.signal("entry-1", signal.SIGTERM)
                    first_part.append(line)
            status = fleet.wait("entry-1")
            notice = json.loads(first_part[-2].removeprefix("data: "))
            last_id = [x for x in first_part if x.startswith("id: ")][-1][4:]
            resumed = httpx.post(
                f"http://{notice['entries'][0]}/v1/completions",
                json=body,
                headers=AUTHORIZATION | {"Last-Event-ID": last_id},
                timeout=TIMEOUT_S,
            ).text.splitlines()
        ids = [
            int(line.rpartition(":")[2])
            for line in first_part + resumed
            if line.startswith("id: ")
        ]
        names_other_entry = notice["entries"] == [fleet.entries[0]]
        text = (
            "# A stream that is open at the drain limit\n"
            f"last event {first_part[-3]}\n"
            f"it names the other entry: {names_other_entry}\n"
            f"exit status {status}\n"
            f"tokens once and in order: {ids == list(range(200))}\n"
            f"the rest ends with {resumed[-2]}\n"
        )
        self.assert_gold("drain-limit", text)
