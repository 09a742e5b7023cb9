"""Tests of store outages and frozen programs, with separate processes."""

import signal

import httpx

from tests import builders
from tests.fleet import Fleet
from tests.helpers import GoldTestCase, free_address, wait_until


def _generation(address):
    return httpx.get(f"http://{address}/readyz").json()["generation"]


class OutageTest(GoldTestCase):
    """An accepted configuration stays active when processes fail."""

    def test_the_configuration_survives_an_outage_and_a_frozen_publisher(self):
        lines = ["# The store fails and the publisher freezes"]
        with Fleet(entries=2) as fleet:
            fleet.start_role("control", "control-1", free_address())

            def wait_for_generation(description, addresses, generation):
                for address in addresses:
                    wait_until(
                        lambda a=address: _generation(a) >= generation,
                        description,
                    )
                lines.append(f"{description}: {len(addresses)} entries have it")

            first = _generation(fleet.entries[0])
            wait_for_generation("the first configuration", fleet.entries, first)
            httpx.post(f"http://{fleet.store}/faults", json={"down": True})
            status = fleet.apply([builders.account(weight=2.0)])
            lines.append(f"apply while the store is down: status {status}")
            late_entry = free_address()
            peers = ("--peers", fleet.links["entry-0"])
            fleet.start_role("entry", "entry-late", late_entry, *peers)
            fleet.wait_ready(late_entry)
            lines.append("an entry that starts meanwhile serves a request")
            httpx.post(f"http://{fleet.store}/faults", json={"down": False})
            lines.append(
                f"apply: {fleet.apply([builders.account(weight=2.0)])}"
            )
            all_entries = [*fleet.entries, late_entry]
            wait_for_generation("the change", all_entries, first + 1)
            for name in ("control-0", "control-1"):
                # One of the two is the publisher. When the publisher is
                # frozen, the other one takes over.
                fleet.signal(name, signal.SIGSTOP)
                weight = 3.0 if name == "control-0" else 4.0
                fleet.apply([builders.account(weight=weight)])
                number = first + (2 if name == "control-0" else 3)
                wait_for_generation(
                    f"a change while {name} is frozen", all_entries, number
                )
                fleet.signal(name, signal.SIGCONT)
        self.assert_gold("config-processes", "\n".join(lines) + "\n")
