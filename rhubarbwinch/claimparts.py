"""Builds an entry's claims and hangs them into its supervisor tree."""

import secrets

from rhubarbwinch.claimfloor import ClaimCleaner, ClaimFloor
from rhubarbwinch.claimowners import LinkOwners
from rhubarbwinch.claimpages import ClaimPages
from rhubarbwinch.claims import Claims
from rhubarbwinch.config import EntrySettings
from rhubarbwinch.daemon import Daemon
from rhubarbwinch.messages import ClaimQuestion

HOUR_MS = 3_600_000


class ClaimParts:
    """The claims of an entry.

    Args:
        daemon: The entry's program.
        settings: What it was told.
    """

    def __init__(self, daemon: Daemon, settings: EntrySettings) -> None:
        store, clock = daemon.store, daemon.clock
        self._pages = ClaimPages(store, clock, settings.claim_writes_per_s)
        self._cleaner = ClaimCleaner(
            store, clock, settings.claims_keep_hours * HOUR_MS
        )
        self.claims = Claims(
            self._pages,
            LinkOwners(daemon.links, daemon.members),
            ClaimFloor(store, clock),
            clock,
            secrets.SystemRandom(),
            settings.name,
            daemon.incarnation,
        )

    def attach(self, daemon: Daemon) -> None:
        """Adds the tasks and the answers to other members."""
        daemon.server.on(ClaimQuestion, self.claims.answer)
        daemon.add("claim-pages", self._pages.run)
        daemon.add("claims", self.claims.run)
        daemon.add("claim-cleaner", self._cleaner.run)
