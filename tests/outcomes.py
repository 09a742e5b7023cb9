"""A nose2 plugin that records the outcome of each test."""

from nose2 import events, result


class Outcomes(events.Plugin):
    """Collects the ids of passed and failed tests."""

    alwaysOn = True  # noqa: N815
    configSection = "outcomes"  # noqa: N815
    passed = set()
    failed = set()

    def testOutcome(self, event):  # noqa: N802
        """Records an outcome; a subtest counts as the test that contains it."""
        name = event.test.id().split(" ")[0]
        has_passed = event.outcome == result.PASS and event.expected
        if event.outcome == result.SUBTEST:
            has_passed = event.exc_info is None
        if has_passed:
            self.passed.add(name)
        else:
            self.failed.add(name)
