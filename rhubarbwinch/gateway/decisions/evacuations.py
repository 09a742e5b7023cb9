"""Knows the data centres whose endpoints get no requests.

Pure code. An operator evacuates a data centre before maintenance or while it is
at risk, under full load. When the evacuation ends its endpoints may be cold.
"""

# After a restore of the store, what operators had written is written again
# within two seconds. Until then a missing key does not end an evacuation.
RESTORE_GRACE_MS = 2_300


class Evacuations:
    """The evacuated data centres, from the operators' keys in the store."""

    def __init__(self) -> None:
        self._ends_ms: dict[str, int | None] = {}

    @property
    def data_centers(self) -> frozenset[str]:
        """The evacuated data centres."""
        return frozenset(self._ends_ms)

    def start(self, data_center: str) -> None:
        """Records that the key of a data centre was written."""
        self._ends_ms[data_center] = None

    def end(self, data_center: str, now_ms: int, may_be_restored: bool) -> None:
        """Records that the key of a data centre is missing.

        Args:
            data_center: The data centre.
            now_ms: The current time.
            may_be_restored: Whether it may be missing because the store is back
                from an older copy.
        """
        if data_center not in self._ends_ms:
            return
        if not may_be_restored:
            del self._ends_ms[data_center]
        elif self._ends_ms[data_center] is None:
            self._ends_ms[data_center] = now_ms + RESTORE_GRACE_MS

    def expire(self, now_ms: int) -> list[str]:
        """Ends the evacuations whose keys were not written again in time.

        Returns:
            Their data centres.
        """
        due = [
            data_center
            for data_center, end_ms in self._ends_ms.items()
            if end_ms is not None and now_ms >= end_ms
        ]
        for data_center in due:
            del self._ends_ms[data_center]
        return due
