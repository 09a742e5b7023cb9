"""A gateway's replica of the store, merged from the store and from peers.

Pure code. Each key keeps the state with the highest revision received,
deletions included, so the order, repetition and source of changes do not
matter.
"""

import attrs

from rhubarbwinch.stores.store import Change, ChangeBatch, KeyValue, Listing

# Tombstones are kept for the most recently deleted keys, at most this many.
MAX_TOMBSTONES = 2_000


@attrs.define
class _Cell:
    """A key's newest state; without an entry the cell is a tombstone."""

    revision: int
    entry: KeyValue | None


class Replica:
    """The newest known state of each key.

    Attributes:
        revision: The revision up to which all changes are known; 0 before the
            first scan.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._cells: dict[str, _Cell] = {}

    def get(self, key: str) -> KeyValue | None:
        """Returns the newest known entry of a key, or None."""
        cell = self._cells.get(key)
        return cell.entry if cell is not None else None

    def entries(self) -> list[KeyValue]:
        """Returns all entries."""
        return [c.entry for c in self._cells.values() if c.entry is not None]

    def changes_since(self, revision: int) -> list[Change]:
        """Returns the newest change of each key that changed later."""
        return [
            Change(key, cell.revision, cell.entry)
            for key, cell in self._cells.items()
            if cell.revision > revision
        ]

    def merge_listing(self, listing: Listing) -> list[Change]:
        """Merges a complete listing; returns the effective changes.

        A key that is missing in the listing is deleted if its known state is
        not newer than the listing.
        """
        listed_keys = {entry.key for entry in listing.entries}
        deleted = [
            Change(key, listing.revision, None)
            for key, cell in self._cells.items()
            if key not in listed_keys
            and cell.entry is not None
            and cell.revision <= listing.revision
        ]
        updated = [Change(e.key, e.revision, e) for e in listing.entries]
        changes = self._apply(deleted + updated)
        self.revision = max(self.revision, listing.revision)
        return changes

    def merge_batch(self, batch: ChangeBatch) -> list[Change] | None:
        """Merges a batch; returns the effective changes, None on a gap.

        There is a gap if the batch starts after the replica's revision.
        """
        if batch.after > self.revision:
            return None
        changes = self._apply(batch.changes)
        self.revision = max(self.revision, batch.revision)
        return changes

    def _apply(self, changes: list[Change]) -> list[Change]:
        effective = []
        for change in changes:
            cell = self._cells.get(change.key)
            # All changes up to the replica's revision are known, so a key that
            # is unknown has been deleted by then.
            known_revision = self.revision if cell is None else cell.revision
            if change.revision <= known_revision:
                continue
            self._cells[change.key] = _Cell(change.revision, change.entry)
            if cell is None and change.entry is None:
                continue
            effective.append(change)
        self._drop_old_tombstones()
        return effective

    def _drop_old_tombstones(self) -> None:
        """Drops the oldest tombstones when there are too many."""
        deleted = [k for k, c in self._cells.items() if c.entry is None]
        if len(deleted) <= MAX_TOMBSTONES:
            return
        deleted.sort(key=lambda key: self._cells[key].revision)
        for key in deleted[: len(deleted) - MAX_TOMBSTONES]:
            del self._cells[key]
