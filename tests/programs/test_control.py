"""Tests of control processes that bring engines to the configured state."""

import unittest

import httpx

from tests import builders
from tests.fleet import Fleet
from tests.helpers import free_address, wait_until

SHORT_TIMEOUTS = ("--order-lease-ms", "1000", "--order-flight-ms", "100")


class ControlTest(unittest.TestCase):
    """Orders when the control that sends them is killed."""

    def test_another_control_sends_orders_after_the_holder_is_killed(self):
        with Fleet(control_options=SHORT_TIMEOUTS) as fleet:
            wait_until(lambda: self._loaded(fleet) == ["vintner@1"], "load")
            fleet.kill("control-0")
            fleet.start_role(
                "control", "control-1", free_address(), *SHORT_TIMEOUTS
            )
            service = builders.generate_service(version="2")
            models = builders.model(versions=["1", "2"])
            self.assertEqual(fleet.apply([models, service]), 0)
            wait_until(lambda: self._loaded(fleet) == ["vintner@2"], "change")
            log = self._get(fleet, "order-log")
        fences = [order["fence"] for order in log]
        self.assertEqual(fences, sorted(fences))

    def _loaded(self, fleet):
        return self._get(fleet, "state")["loaded"]

    def _get(self, fleet, path):
        return httpx.get(f"http://{fleet.engines[0]}/{path}").json()
