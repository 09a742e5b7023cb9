"""The choice of engines, endpoints, migration targets and standbys."""

import random
import unittest
from collections import Counter

from rhubarbwinch.gateway import migrationtargets, placement
from tests.gatewaybuilders import candidate, endpoint, rng, run_with

LONG_PROMPT, LONG_OUTPUT, LONG_MS = 3_000, 930, 10_000
SHORT_PROMPT, SHORT_OUTPUT, SHORT_MS = 2_200, 20, 500
RETRY_MS = 10


def _replay(engines, long_interval_ms, short_interval_ms, ms):
    """Places arriving runs; returns the share of each kind that waits.

    A run that fits nowhere is tried again each `RETRY_MS`, older ones first.
    """
    kinds = {
        "long": (LONG_PROMPT, LONG_OUTPUT, LONG_MS, long_interval_ms),
        "short": (SHORT_PROMPT, SHORT_OUTPUT, SHORT_MS, short_interval_ms),
    }
    running = {f"e{i}": [] for i in range(1, engines + 1)}
    waiting, arrived, waited = [], Counter(), Counter()
    for now in range(0, ms, RETRY_MS):
        for name, runs in running.items():
            running[name] = [run for run in runs if run[0] > now]
        for kind, (_, _, _, interval_ms) in kinds.items():
            if now % interval_ms < RETRY_MS:
                arrived[kind] += 1
                waiting.append((kind, now))
        left = []
        for kind, since in waiting:
            prompt, output, duration_ms, _ = kinds[kind]
            tokens = run_with(prompt, output).mean_tokens
            chosen = placement.choose_engine(
                [
                    candidate(n, runs=len(r), tokens=sum(t for _, t in r))
                    for n, r in running.items()
                ],
                tokens,
                "dc-a",
                rng(),
            )
            if chosen is None:
                left.append((kind, since))
                waited[kind] += since == now
                continue
            running[chosen.endpoint.id].append((now + duration_ms, tokens))
        waiting = left
    return {kind: waited[kind] / arrived[kind] for kind in kinds}


def _name(chosen):
    return None if chosen is None else chosen.endpoint.id


class ChooseEngineTest(unittest.TestCase):
    """Placement of generations."""

    def _choose(self, *candidates, tokens=4_000):
        return _name(
            placement.choose_engine(list(candidates), tokens, "dc-a", rng())
        )

    def test_no_engine_is_filled_beyond_its_kv_cache(self):
        full = candidate("e1", runs=1, tokens=30_500)
        busy = candidate("e2", runs=9, tokens=20_000)
        self.assertEqual(self._choose(full, busy), "e2")
        self.assertIsNone(self._choose(full))

    def test_short_requests_do_not_wait_behind_long_runs(self):
        # Three engines left of six: 2.3 long runs of 10 s and 3.2 short ones
        # of half a second each second, more than their whole outputs fit.
        waited = _replay(
            engines=3, long_interval_ms=430, short_interval_ms=310, ms=60_000
        )
        self.assertLess(waited["short"], 0.1)
        self.assertLess(waited["long"], 0.1)

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

    def test_gateways_with_the_same_counts_choose_different_engines(self):
        # Ten gateways place one run each before they hear of each other.
        engines = [candidate(f"e{i}", 4, 14_000 + 40 * i) for i in range(1, 32)]
        chosen = Counter(
            _name(
                placement.choose_engine(
                    engines,
                    3_500,
                    "dc-a",
                    random.Random(gateway),
                    freshness=placement.RELAYED_LOADS,
                )
            )
            for gateway in range(10)
        )
        self.assertGreaterEqual(len(chosen), 7)

    def test_a_spread_passes_over_engines_with_more_load(self):
        engines = [candidate("e1", 2, 7_000), candidate("e2", 4, 14_000)]
        chosen = {
            _name(
                placement.choose_engine(
                    engines,
                    3_500,
                    "dc-a",
                    random.Random(gateway),
                    freshness=placement.RELAYED_LOADS,
                )
            )
            for gateway in range(10)
        }
        self.assertEqual(chosen, {"e1"})

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
                list(candidates), endpoint("e9"), 3_500, rng()
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

    def test_a_target_has_the_version_of_the_source(self):
        busy = candidate("e1", runs=9, tokens=26_000, version="v1")
        idle = candidate("e2", version="v2")
        found = migrationtargets.choose_target(
            [busy, idle], endpoint("e9", version="v1"), 3_500, rng()
        )
        self.assertEqual(_name(found), "e1")

    def test_an_engine_without_a_rate_limit_is_preferred(self):
        limited = candidate("e1", is_rate_limited=True)
        busy = candidate("e2", runs=7, tokens=20_000)
        self.assertEqual(self._choose(limited, busy), "e2")
        self.assertEqual(self._choose(limited), "e1")

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
        self.assertEqual(self._choose(candidate("e1", 3, 10_500)), "e1")

    def test_a_loaded_engine_is_no_standby(self):
        crowded = candidate("e1", 5, 18_400)
        idle = [candidate(f"e{i}", data_center="dc-b") for i in (2, 3)]
        self.assertNotEqual(self._choose(crowded, *idle), "e1")

    def test_after_the_loss_of_engines_there_is_no_standby(self):
        remaining = [candidate(f"e{i}", 4, 14_000) for i in (1, 2)]
        self.assertIsNone(self._choose(*remaining))
