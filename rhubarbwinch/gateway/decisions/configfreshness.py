"""Decides what a gateway may conclude from its version of the configuration.

Pure code. It is meant for a gateway that callers reach while it does not get
new versions: the store rejects it, or its link to the other gateways is slow.
By an old version it would turn callers away for good whose route or key is new,
and serve requests whose route or key was removed.
"""

# A version counts as outdated when another gateway has had a newer one in force
# for this share of the time in which a version has to be in force everywhere.
# Until then the newer one is usually just on its way.
OUTDATED_SHARE = 0.6
# Share of the same time for which a confirmation by the store shows that there
# is no newer version.
CONFIRMED_SHARE = 0.8


class ConfigFreshness:
    """Compares this gateway's configuration with those of the others.

    Args:
        apply_ms: The time in which a version has to be in force everywhere.
    """

    def __init__(self, apply_ms: int) -> None:
        self._outdated_after_ms = int(OUTDATED_SHARE * apply_ms)
        self._confirmed_for_ms = int(CONFIRMED_SHARE * apply_ms)
        self._behind_since_ms: int | None = None
        self._awaited = 0

    def update(self, version: int, newest: int, now_ms: int) -> None:
        """Records the version in force here and the newest one elsewhere."""
        if newest <= version:
            self._behind_since_ms = None
        elif self._behind_since_ms is None or version >= self._awaited:
            # Versions in quick succession each have their own time.
            self._behind_since_ms = now_ms
            self._awaited = newest

    def is_outdated(self, now_ms: int) -> bool:
        """Returns whether requests need a gateway with a newer version."""
        return (
            self._behind_since_ms is not None
            and now_ms - self._behind_since_ms >= self._outdated_after_ms
        )

    def shows_absence(self, confirmed_ms: int) -> bool:
        """Returns whether what the configuration lacks does not exist.

        Args:
            confirmed_ms: Milliseconds since the store has confirmed to this or
                another gateway that it knows all changes.
        """
        return (
            self._behind_since_ms is None
            and confirmed_ms <= self._confirmed_for_ms
        )
