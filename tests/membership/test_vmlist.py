"""Tests of the adapter of the platform's VM list, with separate processes."""

import unittest
from concurrent import futures

import httpx

from tests.fleet import AUTHORIZATION, Fleet
from tests.helpers import free_address, wait_until

LEAVING_HOST = "127.0.0.2"
# These requests are sent concurrently, so that they need both engines.
REQUESTS = 8


class VmListTest(unittest.TestCase):
    """An engine on a leaving VM."""

    def _generate(self, fleet):
        answer = httpx.post(
            f"http://{fleet.entries[0]}/v1/completions",
            json={"model": "chat", "prompt": "len=20"},
            headers=AUTHORIZATION,
            timeout=20,
        )
        self.assertEqual(answer.status_code, httpx.codes.OK, answer.text)

    def _count(self, address):
        return len(httpx.get(f"http://{address}/log").json())

    def test_an_engine_on_a_leaving_vm_gets_work_again_when_it_is_live(self):
        vms = free_address()
        fleet = Fleet(engines=2, control_options=("--vm-list", vms))
        port = fleet.engines[1].partition(":")[2]
        leaver = fleet.engines[1] = f"{LEAVING_HOST}:{port}"
        fleet.start(
            "vms", "lab.standins.vmlist", "--listen", vms, "--lag-ms", "100"
        )
        with fleet:

            def change(state):
                vm = {"host": LEAVING_HOST, "state": state}
                httpx.post(f"http://{vms}/vms", json=vm)

            def works():
                before = self._count(leaver)
                with futures.ThreadPoolExecutor(REQUESTS) as pool:
                    list(pool.map(self._generate, [fleet] * REQUESTS))
                return self._count(leaver) > before

            wait_until(works, "work at the VM")
            change("leaving")
            wait_until(lambda: not works(), "no work at the leaving VM")
            httpx.post(f"http://{vms}/faults", json={"silent": True})
            self.assertFalse(works())
            httpx.post(f"http://{vms}/faults", json={"silent": False})
            change("live")
            wait_until(works, "work at the live VM")
