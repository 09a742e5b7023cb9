"""Cold endpoints before many gateways that all have requests for them."""

import random
import unittest

from rhubarbwinch.gateway.decisions.warmups import RESTART_MS, Warmups

PER_SECOND = 23.0
# What a cold endpoint bears of all gateways together in any second.
BOUND = int(PER_SECOND * 1.5 + 5)


class ManyGateways:
    """Gateways that send to one cold endpoint whenever they may.

    Args:
        members: The gateways that each gateway counts, by its name.
    """

    def __init__(self, members):
        self.gateways = {}
        self.sent = []
        for name, known in members.items():
            self.gateways[name] = Warmups(name)
            self.gateways[name].set_members(known)

    def play(self, ms, start_ms=0):
        """Lets all gateways send for a time."""
        rng = random.Random(1)
        for now in range(start_ms, start_ms + ms, 10):
            for gateway in rng.sample(
                list(self.gateways.values()), len(self.gateways)
            ):
                if gateway.delay_ms("e1", PER_SECOND, now) == 0:
                    gateway.record_send("e1", now)
                    self.sent.append(now)

    @property
    def most_in_a_second(self):
        """The most requests in any second."""
        return max(
            sum(start <= at < start + 1_000 for at in self.sent)
            for start in set(self.sent)
        )


def names(count):
    """Returns the names of this many gateways."""
    return [f"g{i}" for i in range(count)]


class WarmupsTest(unittest.TestCase):
    """Guards against an endpoint that crashes again as soon as it is back."""

    def test_gateways_that_agree_stay_below_the_rate(self):
        for count in (1, 4, 24, 33, 87):
            with self.subTest(gateways=count):
                fleet = ManyGateways(dict.fromkeys(names(count), names(count)))
                fleet.play(3_000)
                self.assertEqual(fleet.most_in_a_second, int(PER_SECOND))

    def test_a_gateway_that_hears_no_other_keeps_its_share(self):
        # It counts all that are registered, so its members do not change.
        members = dict.fromkeys(names(24), names(24))
        fleet = ManyGateways(members)
        fleet.play(1_500)
        for name in names(23):
            # The others know from the store that its registration ended.
            fleet.gateways[name].set_members(names(23))
        fleet.play(3_000, 1_500)
        self.assertLessEqual(fleet.most_in_a_second, BOUND)

    def test_gateways_that_join_at_once_stay_below_the_bound(self):
        # For some hundred milliseconds the old ones do not know the new ones.
        members = {name: names(20) for name in names(20)}
        members |= {name: names(26) for name in names(26)[20:]}
        fleet = ManyGateways(members)
        fleet.play(3_000)
        self.assertLessEqual(fleet.most_in_a_second, BOUND)

    def test_a_share_is_free_again_a_second_after_it_was_used(self):
        warmups = Warmups("g0")
        for _ in range(3):
            self.assertEqual(warmups.delay_ms("e1", 3.0, 100), 0)
            warmups.record_send("e1", 100)
        self.assertEqual(warmups.delay_ms("e1", 3.0, 400), 700)
        self.assertEqual(warmups.delay_ms("e1", 3.0, 1_100), 0)

    def test_requests_that_wait_for_their_turn_count_from_then_on(self):
        # Counting a later turn dropped the requests of the second before now.
        warmups = Warmups("g0")
        turns = []
        for now in (0, 2, 2, 3, 4, 5, 5, 5, 6):
            turns.append(now + warmups.delay_ms("e1", 3.0, now))
            warmups.record_send("e1", turns[-1])
        self.assertEqual(
            turns, [0, 2, 2, 1_000, 1_002, 1_002, 2_000, 2_002, 2_002]
        )

    def test_a_gateway_without_a_share_knows_who_has_one(self):
        warmups = {name: Warmups(name) for name in names(6)}
        for gateway in warmups.values():
            gateway.set_members(names(6))
        holders = warmups["g0"].holders("e1", 2.0)
        self.assertEqual(len(holders), 2)
        for name, gateway in warmups.items():
            may_send = gateway.delay_ms("e1", 2.0, 0) is not None
            self.assertEqual(may_send, name in holders, name)

    def test_an_endpoint_that_was_down_is_cold_after_its_first_response(self):
        warmups = Warmups("g0")
        warmups.record_response("e1", 1_000, 0)
        self.assertFalse(warmups.may_have_restarted("e1", 0))
        warmups.record_unreachable("e1", 59_000)
        self.assertTrue(warmups.may_have_restarted("e1", 60_000))
        warmups.record_response("e1", 1_000, 60_000)
        self.assertTrue(warmups.may_have_restarted("e1", 60_900))
        self.assertFalse(warmups.may_have_restarted("e1", 61_000))

    def test_an_endpoint_that_never_responds_is_not_cold_for_good(self):
        # A gateway without a share sends nothing, so it gets no response.
        warmups = Warmups("g0")
        warmups.record_unreachable("e1", 1_000)
        self.assertFalse(warmups.may_have_restarted("e1", 1_000 + RESTART_MS))

    def test_a_rate_below_one_a_second_leaves_one_gateway(self):
        warmups = Warmups("g0")
        warmups.set_members(names(5))
        self.assertEqual(len(warmups.holders("e1", 0.5)), 1)

    def test_an_endpoint_back_under_its_id_does_not_get_its_rate_again(self):
        warmups = Warmups("g0")
        warmups.record_send("e1", 100)
        warmups.record_unreachable("e1", 100)
        warmups.forget("e1")
        self.assertEqual(warmups.delay_ms("e1", 1.0, 200), 900)
        self.assertTrue(warmups.may_have_restarted("e1", 200))
