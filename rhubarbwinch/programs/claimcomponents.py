"""Builds an entry's claims, meter and quarantine and adds their tasks."""

import secrets

from rhubarbwinch.claims.claimowners import LinkClaimOwners
from rhubarbwinch.claims.claimpages import ClaimPages
from rhubarbwinch.claims.claimretention import ClaimCleaner, ClaimFloor
from rhubarbwinch.claims.claimrouting import PageCall, RoutedPages
from rhubarbwinch.claims.claims import Claims
from rhubarbwinch.claims.quarantine import Quarantine
from rhubarbwinch.endpoints.metering import Meter, MeterCleaner
from rhubarbwinch.links.messages import ClaimQuestion
from rhubarbwinch.programs.config import EntrySettings
from rhubarbwinch.programs.daemon import Daemon

HOUR_MS = 3_600_000


class ClaimComponents:
    """The claims, the meter and the quarantine of an entry.

    Args:
        daemon: The entry's daemon.
        settings: The entry's settings.
    """

    def __init__(self, daemon: Daemon, settings: EntrySettings) -> None:
        store, clock = daemon.store, daemon.clock
        keep_ms = settings.claims_keep_hours * HOUR_MS
        self._pages = ClaimPages(store, clock, settings.claim_writes_per_s)
        self._cleaner = ClaimCleaner(store, clock, keep_ms)
        self._meter_cleaner = MeterCleaner(store, clock, keep_ms)
        self.meter = Meter(
            store,
            clock,
            settings.name,
            daemon.incarnation,
            settings.meter_flush_ms,
        )
        self.quarantine = Quarantine(store, daemon.gossip, clock)
        self._routed_pages = RoutedPages(
            self._pages, daemon.links, daemon.members, clock
        )
        self.claims = Claims(
            self._routed_pages,
            LinkClaimOwners(daemon.links, daemon.members),
            ClaimFloor(store, clock),
            clock,
            secrets.SystemRandom(),
            settings.name,
            daemon.incarnation,
        )

    def attach(self, daemon: Daemon) -> None:
        """Adds the tasks and the handlers of other members' messages."""
        daemon.server.on(ClaimQuestion, self.claims.reply)
        daemon.server.on(PageCall, self._routed_pages.reply)
        daemon.add("claim-pages", self._pages.run)
        daemon.add("claims", self.claims.run)
        daemon.add("claim-cleaner", self._cleaner.run)
        daemon.add("meter", self.meter.run)
        daemon.add("meter-cleaner", self._meter_cleaner.run)
        daemon.add("quarantine", self.quarantine.run)
