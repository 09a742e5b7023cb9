"""Estimates how fast engines are, from the runs that gateways relay.

Pure code. It is meant for engines of one service that differ in speed by a
factor of up to three, and that slow down before they are full: with equal
weights the slow ones get as many runs as the others, and their streams pause
for longer than callers accept.

Each gateway measures the time between events of its own runs. The estimates
travel with the loads, since one gateway of dozens sees few runs of an engine.
"""

import statistics

import attrs

# A sample covers a stream for this time, so that one late event is no sample.
SAMPLE_MS = 500
# Half-life of the weight of a sample.
HALF_LIFE_MS = 2_000
# A sample counts as at most this many times as slow or as fast as the estimate.
# Engines are slower by 2.5 for 600 ms at a time, which is no lasting change.
MAX_SAMPLE_FACTOR = 1.6
# Half-life of what is known of an engine without new samples. It then counts as
# an average one again, so that it gets runs and is measured.
FORGET_HALF_LIFE_MS = 10_000
# Smaller differences between engines come from their loads of the moment.
MIN_DIFFERENCE = 0.15
# An estimate is reported to peers again when it has changed by this share. Each
# change makes relays forward the whole state of a gateway.
REPORTED_CHANGE = 0.2
# Estimates are reported to peers for this time after the last sample.
REPORTED_MS = 5_000
# Estimates without new samples are dropped after this time.
RETENTION_MS = 60_000
# With fewer measured engines there is nothing to compare an engine with.
MIN_ENGINES = 3


@attrs.define
class _Estimate:
    """An estimate of the time between events at one engine.

    Attributes:
        event_ms: The time between two events.
        at_ms: When it was updated last.
        reported_ms: The time between two events as reported to the peers.
        is_current: Whether it was updated within `REPORTED_MS`.
    """

    event_ms: float
    at_ms: int
    reported_ms: int = 0
    is_current: bool = True


class EngineSpeeds:
    """The speeds of engines, as this gateway and its peers have measured."""

    def __init__(self) -> None:
        self._own: dict[str, _Estimate] = {}
        self._by_peer: dict[str, dict[str, _Estimate]] = {}

    def record(self, engine: str, event_ms: float, now_ms: int) -> None:
        """Records the mean time between events of a run of this gateway."""
        known = self._own.get(engine)
        if known is None:
            self._own[engine] = _Estimate(event_ms, now_ms)
            return
        limited_ms = min(
            max(event_ms, known.event_ms / MAX_SAMPLE_FACTOR),
            known.event_ms * MAX_SAMPLE_FACTOR,
        )
        # Samples of several runs at the same time weigh as one.
        elapsed_ms = max(now_ms - known.at_ms, SAMPLE_MS // 4)
        weight = 1 - 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        known.event_ms += weight * (limited_ms - known.event_ms)
        known.at_ms = now_ms
        known.is_current = True

    def receive(
        self, peer: str, engine: str, event_ms: int, now_ms: int
    ) -> None:
        """Records what a peer has measured."""
        estimates = self._by_peer.setdefault(engine, {})
        estimates[peer] = _Estimate(event_ms, now_ms)

    def reported(self, engine: str) -> int:
        """Returns the time between events for the peers; 0 if unknown."""
        known = self._own.get(engine)
        if known is None or not known.is_current:
            return 0
        change = abs(known.event_ms - known.reported_ms)
        if change > REPORTED_CHANGE * known.reported_ms:
            known.reported_ms = max(1, round(known.event_ms))
        return known.reported_ms

    def slowness(self, engines: list[str], now_ms: int) -> dict[str, float]:
        """Returns how slow engines are in relation to the others.

        Args:
            engines: The engines of one service.
            now_ms: The current time.

        Returns:
            The time between events as a multiple of the median, for engines
            that differ clearly from it.
        """
        measured = {
            engine: found
            for engine in engines
            if (found := self._combined(engine, now_ms)) is not None
        }
        if len(measured) < MIN_ENGINES:
            return {}
        median_ms = statistics.median(e.event_ms for e in measured.values())
        result = {}
        for engine, estimate in measured.items():
            memory = 0.5 ** ((now_ms - estimate.at_ms) / FORGET_HALF_LIFE_MS)
            difference = memory * (estimate.event_ms / median_ms - 1)
            if abs(difference) >= MIN_DIFFERENCE:
                result[engine] = 1 + difference
        return result

    def forget(self, engine: str) -> None:
        """Drops what is known of an engine that is gone."""
        self._own.pop(engine, None)
        self._by_peer.pop(engine, None)

    def forget_peer(self, peer: str) -> None:
        """Drops what a gateway that is gone has measured."""
        for estimates in self._by_peer.values():
            estimates.pop(peer, None)

    def expire(self, now_ms: int) -> None:
        """Stops reporting old estimates, and drops very old ones."""
        for engine, estimate in list(self._own.items()):
            estimate.is_current = now_ms - estimate.at_ms <= REPORTED_MS
            if now_ms - estimate.at_ms > RETENTION_MS:
                del self._own[engine]
        for engine, estimates in list(self._by_peer.items()):
            for peer, estimate in list(estimates.items()):
                if now_ms - estimate.at_ms > RETENTION_MS:
                    del estimates[peer]
            if not estimates:
                del self._by_peer[engine]

    def _combined(self, engine: str, now_ms: int) -> _Estimate | None:
        """Returns the mean of all gateways' estimates, weighted by recency."""
        estimates = list(self._by_peer.get(engine, {}).values())
        if engine in self._own:
            estimates.append(self._own[engine])
        if not estimates:
            return None
        weights = [
            0.5 ** ((now_ms - e.at_ms) / FORGET_HALF_LIFE_MS) for e in estimates
        ]
        total = sum(weights)
        mean_ms = (
            sum(w * e.event_ms for w, e in zip(weights, estimates, strict=True))
            / total
        )
        return _Estimate(mean_ms, max(e.at_ms for e in estimates))
