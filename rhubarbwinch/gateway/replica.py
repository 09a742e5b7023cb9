"""What a gateway knows of the store, merged from the store and from peers.

Pure code: every key keeps the newest revision that was told, deletions too,
so it does not matter in which order, how often or from whom changes come.
"""

import attrs

from rhubarbwinch.stores.store import Change, ChangeBatch, Entry, Listing

# Deletions are remembered for so many keys, the newest.
MAX_TOMBSTONES = 2_000


@attrs.define
class _Cell:
    """A key's newest state; no entry means that it was deleted."""

    revision: int
    entry: Entry | None


class Replica:
    """The newest known state of each key.

    Attributes:
        revision: Up to here every change is known; 0 before the first scan.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._cells: dict[str, _Cell] = {}

    def get(self, key: str) -> Entry | None:
        """Returns the newest known entry of a key, or None."""
        cell = self._cells.get(key)
        return cell.entry if cell is not None else None

    def entries(self) -> list[Entry]:
        """Returns all entries."""
        return [c.entry for c in self._cells.values() if c.entry is not None]

    def merge_listing(self, listing: Listing) -> list[Change]:
        """Takes a whole listing; returns what it changes.

        A key that is missing there and was older is deleted.
        """
        found = {entry.key for entry in listing.entries}
        gone = [
            Change(key, listing.revision, None)
            for key, cell in self._cells.items()
            if key not in found
            and cell.entry is not None
            and cell.revision <= listing.revision
        ]
        fresh = [Change(e.key, e.revision, e) for e in listing.entries]
        changes = self._apply(gone + fresh)
        self.revision = max(self.revision, listing.revision)
        return changes

    def merge_batch(self, batch: ChangeBatch) -> list[Change] | None:
        """Takes a batch; returns what it changes, None after a gap."""
        if batch.after > self.revision:
            return None
        changes = self._apply(batch.changes)
        self.revision = max(self.revision, batch.revision)
        return changes

    def _apply(self, changes: list[Change]) -> list[Change]:
        taken = []
        for change in changes:
            cell = self._cells.get(change.key)
            if cell is not None and cell.revision >= change.revision:
                continue
            self._cells[change.key] = _Cell(change.revision, change.entry)
            if cell is None and change.entry is None:
                continue
            taken.append(change)
        self._forget()
        return taken

    def _forget(self) -> None:
        """Drops the oldest deletions when there are too many."""
        gone = [k for k, c in self._cells.items() if c.entry is None]
        if len(gone) <= MAX_TOMBSTONES:
            return
        gone.sort(key=lambda key: self._cells[key].revision)
        for key in gone[: len(gone) - MAX_TOMBSTONES]:
            del self._cells[key]
