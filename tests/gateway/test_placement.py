"""The choice of engines, endpoints, migration targets and standbys."""

import unittest

from rhubarbwinch.gateway import migrationtargets, placement
from tests.gatewaybuilders import candidate, endpoint, rng


def _name(chosen):
    return None if chosen is None else chosen.endpoint.id


class ChooseEngineTest(unittest.TestCase):
    """Placement of generations."""

    def _choose(self, *candidates, tokens=4_000):
        return _name(
            placement.choose_engine(list(candidates), tokens, "dc-a", rng())
        )

    def test_no_engine_is_filled_beyond_its_kv_cache(self):
        full = candidate("e1", runs=1, tokens=30_000)
        busy = candidate("e2", runs=9, tokens=20_000)
        self.assertEqual(self._choose(full, busy), "e2")
        self.assertIsNone(self._choose(full))

    def test_an_empty_engine_takes_a_run_of_any_size(self):
        self.assertEqual(self._choose(candidate("e1"), tokens=60_000), "e1")

    def test_no_engine_gets_more_runs_than_slots(self):
        self.assertIsNone(self._choose(candidate("e1", runs=24)))

    def test_a_burst_is_spread_over_the_engines(self):
        loads = {f"e{i}": [0, 0] for i in range(1, 7)}
        for _ in range(30):
            chosen = self._choose(
                *(candidate(n, runs=r, tokens=t) for n, (r, t) in loads.items())
            )
            loads[chosen][0] += 1
            loads[chosen][1] += 4_000
        self.assertEqual({runs for runs, _ in loads.values()}, {5})

    def test_pending_prefill_counts(self):
        reading = candidate("e1", runs=1, tokens=4_000, prefill=3_000)
        running = candidate("e2", runs=2, tokens=8_000)
        self.assertEqual(self._choose(reading, running), "e2")

    def test_an_engine_that_is_warming_up_is_the_last_choice(self):
        cold = candidate("e1", is_warm=False)
        self.assertEqual(
            self._choose(cold, candidate("e2", runs=2, tokens=8_000)), "e2"
        )

    def test_the_own_data_center_is_preferred_among_equals(self):
        far = candidate("e1", data_center="dc-b")
        self.assertEqual(self._choose(far, candidate("e2")), "e2")


class ChoosePlainEndpointTest(unittest.TestCase):
    """Placement of plain calls."""

    def test_the_endpoint_with_the_fewest_calls_per_slot_is_chosen(self):
        chosen = placement.choose_plain_endpoint(
            [candidate("e1", runs=3), candidate("e2", runs=1)], "dc-a", rng()
        )
        self.assertEqual(_name(chosen), "e2")

    def test_an_endpoint_that_fails_often_is_chosen_less(self):
        chosen = placement.choose_plain_endpoint(
            [candidate("e1", failure_share=0.4), candidate("e2", runs=1)],
            "dc-a",
            rng(),
        )
        self.assertEqual(_name(chosen), "e2")

    def test_without_endpoints_there_is_no_choice(self):
        self.assertIsNone(placement.choose_plain_endpoint([], "dc-a", rng()))


class ChooseTargetTest(unittest.TestCase):
    """Migration targets."""

    def _choose(self, *candidates):
        return _name(
            migrationtargets.choose_target(
                list(candidates), endpoint("e9"), 4_000, rng()
            )
        )

    def test_the_target_is_in_the_data_center_while_it_has_capacity(self):
        near = candidate("e1", runs=4, tokens=16_000)
        far = candidate("e2", runs=1, tokens=4_000, data_center="dc-b")
        self.assertEqual(self._choose(near, far), "e1")

    def test_a_much_less_loaded_engine_elsewhere_is_preferred(self):
        near = candidate("e1", runs=7, tokens=26_000)
        far = candidate("e2", runs=0, data_center="dc-b")
        self.assertEqual(self._choose(near, far), "e2")

    def test_without_capacity_there_is_no_target(self):
        self.assertIsNone(self._choose(candidate("e1", 8, 32_000)))

    def test_a_failing_engine_is_no_target(self):
        self.assertIsNone(self._choose(candidate("e1", failure_share=0.4)))


class RefreshTest(unittest.TestCase):
    """When a copy is refreshed."""

    def test_a_copy_that_lacks_many_events_is_refreshed_early(self):
        # A first copy took 1.4 s, in which its run made 50 events.
        self.assertEqual(
            migrationtargets.refresh_after_ms(50),
            migrationtargets.EARLY_REFRESH_MS,
        )
        self.assertEqual(
            migrationtargets.refresh_after_ms(2),
            migrationtargets.COPY_REFRESH_MS,
        )


class ChooseStandbyTest(unittest.TestCase):
    """Standby engines."""

    def _choose(self, *candidates):
        return _name(
            migrationtargets.choose_standby(
                list(candidates), endpoint("e9"), 4_000, rng()
            )
        )

    def test_a_run_gets_a_standby_while_kv_cache_is_ample(self):
        self.assertEqual(self._choose(candidate("e1", 3, 12_000)), "e1")

    def test_a_loaded_engine_is_no_standby(self):
        crowded = candidate("e1", 5, 21_000)
        idle = [candidate(f"e{i}", data_center="dc-b") for i in (2, 3)]
        self.assertNotEqual(self._choose(crowded, *idle), "e1")

    def test_after_the_loss_of_engines_there_is_no_standby(self):
        remaining = [candidate(f"e{i}", 4, 16_000) for i in (1, 2)]
        self.assertIsNone(self._choose(*remaining))
