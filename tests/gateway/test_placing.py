"""The choice of engines, endpoints, migration targets and standbys."""

import unittest

from rhubarbwinch.gateway import moving, placing
from tests.gatewaybuilders import candidate, endpoint, rng


def _name(chosen):
    return None if chosen is None else chosen.endpoint.id


class ChooseEngineTest(unittest.TestCase):
    """Placement of generations."""

    def _choose(self, *candidates, tokens=4_000):
        return _name(
            placing.choose_engine(list(candidates), tokens, "dc-a", rng())
        )

    def test_no_engine_is_filled_beyond_its_memory(self):
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

    def test_prompts_that_are_being_read_count(self):
        reading = candidate("e1", runs=1, tokens=4_000, prefill=3_000)
        running = candidate("e2", runs=2, tokens=8_000)
        self.assertEqual(self._choose(reading, running), "e2")

    def test_an_engine_that_has_just_started_is_the_last_choice(self):
        cold = candidate("e1", is_warm=False)
        self.assertEqual(
            self._choose(cold, candidate("e2", runs=2, tokens=8_000)), "e2"
        )

    def test_the_own_data_center_is_preferred_among_equals(self):
        far = candidate("e1", data_center="dc-b")
        self.assertEqual(self._choose(far, candidate("e2")), "e2")


class ChooseEndpointTest(unittest.TestCase):
    """Placement of plain calls."""

    def test_the_fewest_open_for_each_slot_is_chosen(self):
        chosen = placing.choose_endpoint(
            [candidate("e1", runs=3), candidate("e2", runs=1)], "dc-a", rng()
        )
        self.assertEqual(_name(chosen), "e2")

    def test_an_endpoint_that_fails_often_is_chosen_less(self):
        chosen = placing.choose_endpoint(
            [candidate("e1", failure_share=0.4), candidate("e2", runs=1)],
            "dc-a",
            rng(),
        )
        self.assertEqual(_name(chosen), "e2")

    def test_without_endpoints_there_is_no_choice(self):
        self.assertIsNone(placing.choose_endpoint([], "dc-a", rng()))


class ChooseHomeTest(unittest.TestCase):
    """Migration targets."""

    def _choose(self, *candidates):
        return _name(
            moving.choose_home(list(candidates), endpoint("e9"), 4_000, rng())
        )

    def test_a_copy_stays_in_the_data_center_while_there_is_room(self):
        near = candidate("e1", runs=4, tokens=16_000)
        far = candidate("e2", runs=1, tokens=4_000, data_center="dc-b")
        self.assertEqual(self._choose(near, far), "e1")

    def test_a_much_emptier_engine_elsewhere_is_better(self):
        near = candidate("e1", runs=7, tokens=26_000)
        far = candidate("e2", runs=0, data_center="dc-b")
        self.assertEqual(self._choose(near, far), "e2")

    def test_without_room_anywhere_there_is_no_home(self):
        self.assertIsNone(self._choose(candidate("e1", 8, 32_000)))

    def test_an_engine_that_fails_is_no_home(self):
        self.assertIsNone(self._choose(candidate("e1", failure_share=0.4)))


class RefreshTest(unittest.TestCase):
    """When a copy is refreshed."""

    def test_a_copy_that_is_far_behind_is_renewed_soon(self):
        # A first copy took 1.4 s, in which its run made 50 events.
        self.assertEqual(moving.refresh_after_ms(50), moving.EARLY_REFRESH_MS)
        self.assertEqual(moving.refresh_after_ms(2), moving.REFRESH_MS)


class ChooseBackupTest(unittest.TestCase):
    """Standby engines."""

    def _choose(self, *candidates):
        return _name(
            moving.choose_backup(list(candidates), endpoint("e9"), 4_000, rng())
        )

    def test_a_run_is_followed_while_memory_is_ample(self):
        self.assertEqual(self._choose(candidate("e1", 3, 12_000)), "e1")

    def test_a_crowded_engine_follows_nothing(self):
        crowded = candidate("e1", 5, 21_000)
        idle = [candidate(f"e{i}", data_center="dc-b") for i in (2, 3)]
        self.assertNotEqual(self._choose(crowded, *idle), "e1")

    def test_after_the_loss_of_engines_memory_is_left_to_work(self):
        left = [candidate(f"e{i}", 4, 16_000) for i in (1, 2)]
        self.assertIsNone(self._choose(*left))
