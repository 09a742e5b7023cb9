"""Quarantines requests that crash endpoints.

A request is identified by the digest of its account and content. Each endpoint
that dies while it runs the request is a strike. After one strike the request
is a suspect: only one more run, its trial, is allowed in the whole system, and
the store decides which run that is. After two strikes it is in quarantine and
refused everywhere.
"""

from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs

from rhubarbwinch.shared import codec, events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import (
    CodecError,
    StoreError,
    StoreUncertain,
)
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.store import Store

KIND = "suspect"
MAX_STRIKES = 2
MAX_SUSPECTS = 10_000
SUSPECT_RETENTION_MS = 3_600_000
RELOAD_INTERVAL_MS = 30_000
RELOAD_RETRY_MS = 500
LOAD_POLL_MS = 20
MAX_CONFLICTS = 10
LOCK_LIFETIME_MS = 600_000
LOCK_WAIT_MS = 5_000
LOCK_POLL_MS = 200
PROPAGATION_MS = 500


class Broadcaster(Protocol):
    """Broadcasts updates to all members, as gossip does."""

    def broadcast(self, kind: str, key: str, data: bytes) -> None:
        """Broadcasts an update to all other members."""
        ...

    def on_update(
        self, kind: str, handler: Callable[[str, bytes], Awaitable[None]]
    ) -> None:
        """Sets the handler of received updates of a kind."""
        ...


@attrs.frozen
class Suspect:
    """A request during a run of which an endpoint died.

    Attributes:
        fingerprint: Digest of the request's account and content.
        strikes: The runs during which an endpoint died, oldest first.
        trial: The run that is allowed after the first strike; empty for none.
        at_ms: Unix time of the last strike.
    """

    fingerprint: str
    strikes: list[str] = attrs.field(factory=list)
    trial: str = ""
    at_ms: int = 0

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is refused everywhere."""
        return len(self.strikes) >= MAX_STRIKES


@attrs.frozen
class EndpointLock:
    """The lock that a run of a suspect holds on its endpoint.

    Attributes:
        run: The run that holds the lock.
        at_ms: Unix time of the acquisition.
    """

    run: str
    at_ms: int


class Quarantine:
    """Records strikes and decides which runs of suspects may start.

    Args:
        store: Stores the suspects, also for members that start later.
        broadcaster: Broadcasts strikes to the current members.
        clock: The source of time.
        propagation_ms: The time in which a broadcast reaches all members.
    """

    def __init__(
        self,
        store: Store,
        broadcaster: Broadcaster,
        clock: Clock,
        propagation_ms: int = PROPAGATION_MS,
    ) -> None:
        self._propagation_ms = propagation_ms
        self._store = store
        self._broadcaster = broadcaster
        self._clock = clock
        self._suspects: dict[str, Suspect] = {}
        self._unsaved_strikes: dict[str, str] = {}
        self._is_loaded = False
        broadcaster.on_update(KIND, self._handle_update)

    async def run(self) -> None:
        """Loads the suspects from the store periodically, until cancelled."""
        while True:
            try:
                await self.load()
                delay_ms = RELOAD_INTERVAL_MS
            except StoreError as error:
                events.STORE_DOWN.log(error=str(error))
                delay_ms = RELOAD_RETRY_MS
            await self._clock.sleep(delay_ms)

    async def load(self) -> None:
        """Loads all suspects after retrying writes of strikes that failed."""
        for run, fingerprint in list(self._unsaved_strikes.items()):
            await self._save_strike(fingerprint, run)
        listing = await self._store.scan(keys.SUSPECTS)
        for entry in listing.entries:
            suspect = _decode(entry.value)
            if self._is_expired(suspect):
                await self._store.delete(entry.key, entry.revision)
            else:
                self._merge(suspect)
        self._remove_expired()
        self._is_loaded = True

    async def wait_loaded(self, limit_ms: int) -> None:
        """Waits at most `limit_ms` until the suspects are first loaded."""
        deadline_ms = self._clock.now() + limit_ms
        while not self._is_loaded and self._clock.now() < deadline_ms:
            await self._clock.sleep(LOAD_POLL_MS)

    def get(self, fingerprint: str) -> Suspect | None:
        """Returns the suspect with a fingerprint, or None if there is none."""
        return self._suspects.get(fingerprint)

    async def record_strike(self, fingerprint: str, run: str) -> None:
        """Records and broadcasts that an endpoint died during a run.

        Returns only after the broadcast has had time to reach all members, so
        that a caller's retry at another member finds the strike there.
        """
        now = self._clock.wall()
        events.ENDPOINT_STRIKE.log(fingerprint=fingerprint, run=run)
        suspect = Suspect(fingerprint, [run], at_ms=now)
        self._merge(suspect)
        self._broadcaster.broadcast(KIND, fingerprint, codec.encode(suspect))
        self._unsaved_strikes[run] = fingerprint
        try:
            await self._save_strike(fingerprint, run)
        except StoreError as error:
            # `load` retries the write. Other members have the broadcast.
            events.STORE_DOWN.log(error=str(error))
        if self._propagation_ms:
            await self._clock.sleep(self._propagation_ms)

    async def remove_suspect(self, fingerprint: str) -> None:
        """Removes a suspect, because one of its runs has finished."""
        if self._suspects.pop(fingerprint, None) is None:
            return
        events.SUSPECT_CLEARED.log(fingerprint=fingerprint)
        cleared = Suspect(fingerprint)
        self._broadcaster.broadcast(KIND, fingerprint, codec.encode(cleared))
        key = keys.suspect(fingerprint)
        try:
            entry = await self._store.get(key)
            if entry is not None:
                await self._store.delete(key, entry.revision)
        except StoreError as error:
            # The stored record expires by itself. Until then the request may
            # need one more trial.
            events.STORE_DOWN.log(error=str(error))

    async def wait_for_trial(self, fingerprint: str, run: str) -> bool:
        """Waits for a suspect's trial; returns whether the run may start.

        The wait gives another run of the suspect time to finish and clear it.

        Raises:
            StoreError: The store is unavailable, so the run must not start.
        """
        deadline_ms = self._clock.now() + LOCK_WAIT_MS
        while not await self.begin_trial(fingerprint, run):
            suspect = self._suspects.get(fingerprint)
            if suspect is not None and suspect.is_quarantined:
                return False
            if self._clock.now() >= deadline_ms:
                return False
            await self._clock.sleep(LOCK_POLL_MS)
        return True

    async def begin_trial(self, fingerprint: str, run: str) -> bool:
        """Returns whether a run of a suspect may start.

        The run may start if the suspect has been cleared or if this run
        becomes its trial.

        Raises:
            StoreError: The store is unavailable, so the run must not start.
        """
        for struck in [
            r for r, f in self._unsaved_strikes.items() if f == fingerprint
        ]:
            await self._save_strike(fingerprint, struck)

        def set_trial(suspect: Suspect) -> Suspect:
            if not suspect.strikes or suspect.is_quarantined or suspect.trial:
                return suspect
            return attrs.evolve(suspect, trial=run)

        suspect = await self._update(fingerprint, set_trial)
        if not suspect.strikes:
            # Another run finished and cleared the suspect.
            self._suspects.pop(fingerprint, None)
            return True
        self._merge(suspect)
        return suspect.trial == run and not suspect.is_quarantined

    async def end_trial(self, fingerprint: str, run: str) -> None:
        """Releases a trial that neither finished nor killed its endpoint."""

        def clear_trial(suspect: Suspect) -> Suspect:
            if suspect.trial != run:
                return suspect
            return attrs.evolve(suspect, trial="")

        try:
            await self._update(fingerprint, clear_trial)
        except StoreError as error:
            # Other runs of the suspect are refused until the record expires.
            events.STORE_DOWN.log(error=str(error))

    async def wait_for_lock(self, endpoint: str, run: str) -> bool:
        """Waits for the endpoint's lock; returns whether it was acquired.

        Raises:
            StoreError: The store is unavailable, so the run must not start.
        """
        deadline_ms = self._clock.now() + LOCK_WAIT_MS
        while not await self.acquire_lock(endpoint, run):
            if self._clock.now() >= deadline_ms:
                return False
            await self._clock.sleep(LOCK_POLL_MS)
        return True

    async def acquire_lock(self, endpoint: str, run: str) -> bool:
        """Tries to acquire the lock that keeps suspects apart on an endpoint.

        Returns whether the run holds the lock.

        Raises:
            StoreError: The store is unavailable, so the run must not start.
        """
        key = keys.trial(endpoint)
        now = self._clock.wall()
        entry = await self._store.get(key)
        if entry is not None:
            current = codec.decode(entry.value, EndpointLock)
            if now - current.at_ms < LOCK_LIFETIME_MS:
                return current.run == run
        data = codec.encode(EndpointLock(run, now))
        expected = entry.revision if entry else 0
        try:
            return (await self._store.swap(key, expected, data)).succeeded
        except StoreUncertain:
            found = await self._store.get(key)
            return found is not None and found.value == data

    async def release_lock(self, endpoint: str, run: str) -> None:
        """Releases the endpoint's lock if the run holds it."""
        key = keys.trial(endpoint)
        try:
            entry = await self._store.get(key)
            if entry and codec.decode(entry.value, EndpointLock).run == run:
                await self._store.delete(key, entry.revision)
        except StoreError as error:
            # The lock expires by itself.
            events.STORE_DOWN.log(error=str(error))

    async def _handle_update(self, _: str, data: bytes) -> None:
        try:
            suspect = codec.decode(data, Suspect)
        except CodecError as error:
            events.PEER_REFUSED.log(error=str(error))
            return
        if suspect.strikes:
            self._merge(suspect)
        else:
            self._suspects.pop(suspect.fingerprint, None)

    def _merge(self, suspect: Suspect) -> None:
        known = self._suspects.get(suspect.fingerprint)
        if known is not None:
            suspect = _union(known, suspect)
        elif len(self._suspects) >= MAX_SUSPECTS:
            oldest = min(self._suspects.values(), key=lambda s: s.at_ms)
            del self._suspects[oldest.fingerprint]
        was_quarantined = known is not None and known.is_quarantined
        self._suspects[suspect.fingerprint] = suspect
        if suspect.is_quarantined and not was_quarantined:
            events.QUARANTINED.log(
                fingerprint=suspect.fingerprint, runs=suspect.strikes
            )

    async def _save_strike(self, fingerprint: str, run: str) -> None:
        struck = Suspect(fingerprint, [run], at_ms=self._clock.wall())
        saved = await self._update(fingerprint, lambda s: _union(s, struck))
        self._unsaved_strikes.pop(run, None)
        self._merge(saved)

    async def _update(
        self, fingerprint: str, change: Callable[[Suspect], Suspect]
    ) -> Suspect:
        """Applies an idempotent change to a record by compare-and-swap.

        Raises:
            StoreError: The change failed, or it is unknown whether it took
                effect.
        """
        key = keys.suspect(fingerprint)
        for _ in range(MAX_CONFLICTS):
            entry = await self._store.get(key)
            current = _decode(entry.value) if entry else Suspect(fingerprint)
            updated = change(current)
            if updated == current:
                return current
            expected = entry.revision if entry else 0
            try:
                swap = await self._store.swap(
                    key, expected, codec.encode(updated)
                )
            except StoreUncertain:
                # The next attempt reads the record again and finds the change
                # already made, or applies it again.
                continue
            if swap.succeeded:
                return updated
        raise StoreUncertain(f"{key}: lost {MAX_CONFLICTS} races")

    def _is_expired(self, suspect: Suspect) -> bool:
        return self._clock.wall() - suspect.at_ms > SUSPECT_RETENTION_MS

    def _remove_expired(self) -> None:
        for suspect in list(self._suspects.values()):
            if self._is_expired(suspect):
                del self._suspects[suspect.fingerprint]


def _decode(data: bytes) -> Suspect:
    try:
        return codec.decode(data, Suspect)
    except CodecError as error:
        raise StoreUncertain(f"a suspect's record: {error}") from error


def _union(one: Suspect, two: Suspect) -> Suspect:
    strikes = list(dict.fromkeys([*one.strikes, *two.strikes]))
    return Suspect(
        one.fingerprint,
        strikes[:MAX_STRIKES],
        one.trial or two.trial,
        max(one.at_ms, two.at_ms),
    )
