"""What an old configuration shows."""

import unittest

from rhubarbwinch.gateway.decisions.configfreshness import ConfigFreshness

APPLY_MS = 3_000


class ConfigFreshnessTest(unittest.TestCase):
    """A gateway that gets no new versions while others do."""

    def setUp(self):
        self.freshness = ConfigFreshness(APPLY_MS)

    def test_a_version_that_is_just_on_its_way_makes_no_gateway_outdated(self):
        self.freshness.update(4, 16, 1_000)
        self.assertFalse(self.freshness.is_outdated(1_500))
        self.freshness.update(16, 16, 1_600)
        self.assertFalse(self.freshness.is_outdated(9_000))

    def test_a_gateway_is_outdated_before_the_version_has_to_be_in_force(self):
        self.freshness.update(4, 16, 1_000)
        # A newer version does not start the time again.
        self.freshness.update(4, 18, 2_500)
        self.assertTrue(self.freshness.is_outdated(1_000 + APPLY_MS))

    def test_a_gateway_that_follows_quick_versions_is_not_outdated(self):
        for now in range(1_000, 9_000, 400):
            version = now // 400
            self.freshness.update(version - 1, version, now)
            self.assertFalse(self.freshness.is_outdated(now))

    def test_what_is_unknown_may_exist_if_another_gateway_has_a_newer_one(self):
        self.freshness.update(4, 16, 1_000)
        self.assertFalse(self.freshness.shows_absence(confirmed_ms=0))

    def test_what_is_unknown_may_exist_if_the_store_was_silent(self):
        self.freshness.update(16, 16, 1_000)
        self.assertTrue(self.freshness.shows_absence(confirmed_ms=700))
        self.assertFalse(self.freshness.shows_absence(confirmed_ms=APPLY_MS))
