"""Decides from call outcomes which endpoints are avoided.

Pure code. It handles endpoints that pass health checks but fail a share of
their requests, endpoints that hang, and endpoints that fail the callers of one
data centre only. Each gateway judges by the outcomes of its own calls.
"""

import enum
import math

import attrs

# Half-life of the weight of an outcome.
HALF_LIFE_MS = 4_000
# Failure weight that is needed before an endpoint is avoided.
MIN_FAILURES = 2.0
# An endpoint is avoided if its failure share is larger than this and larger
# than twice the share of the service's other endpoints.
MIN_SHARE = 0.3
INITIAL_PAUSE_MS = 1_000
MAX_PAUSE_MS = 8_000
# After this time without a pause, the next one is short again.
PAUSE_RESET_MS = 15_000


class AttemptOutcome(enum.Enum):
    """How a call to an endpoint ended, with its weight as a failure.

    The lower-case names of the members are label values of a metric.
    """

    GOOD = 0.0
    # The endpoint responded with an error, as single requests sometimes cause.
    ERROR = 0.7
    # The endpoint refused the request because it was full.
    REFUSED = 0.3
    # The response was missing or incomplete, or came from another endpoint.
    BROKEN = 1.0
    # No connection could be made.
    UNREACHABLE = 2.0


@attrs.define
class _Record:
    """The decayed outcomes of one endpoint and its pauses."""

    service: str
    failures: float = 0.0
    calls: float = 0.0
    updated_ms: int = 0
    avoided_until_ms: int = 0
    pause_ms: int = INITIAL_PAUSE_MS
    is_on_trial: bool = False

    def decay(self, now_ms: int) -> None:
        """Decays the weight of earlier outcomes."""
        share = 0.5 ** ((now_ms - self.updated_ms) / HALF_LIFE_MS)
        self.failures *= share
        self.calls *= share
        self.updated_ms = now_ms


class Suspicion:
    """Judges the endpoints that this gateway calls."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def record_outcome(
        self, service: str, endpoint: str, outcome: AttemptOutcome, now_ms: int
    ) -> bool:
        """Records an outcome; returns whether a new pause begins with it."""
        record = self._records.get(endpoint)
        if record is None:
            record = self._records[endpoint] = _Record(
                service, updated_ms=now_ms
            )
        record.decay(now_ms)
        record.calls += 1
        record.failures += outcome.value
        if outcome is AttemptOutcome.GOOD and record.is_on_trial:
            # The trial call succeeded, so earlier failures no longer count.
            record.is_on_trial = False
            record.failures = 0.0
            return False
        if now_ms - record.avoided_until_ms > PAUSE_RESET_MS:
            record.pause_ms = INITIAL_PAUSE_MS
        if not self._is_bad(record, outcome, now_ms):
            return False
        self._start_pause(record, now_ms)
        return True

    def avoid(self, service: str, endpoint: str, now_ms: int) -> int | None:
        """Avoids an endpoint that several gateways have reported.

        Returns:
            The end of the pause; None if the endpoint is avoided already.
        """
        record = self._records.get(endpoint)
        if record is None:
            record = self._records[endpoint] = _Record(
                service, updated_ms=now_ms
            )
        if now_ms < record.avoided_until_ms:
            return None
        self._start_pause(record, now_ms)
        return record.avoided_until_ms

    def _start_pause(self, record: _Record, now_ms: int) -> None:
        record.avoided_until_ms = now_ms + record.pause_ms
        record.pause_ms = min(MAX_PAUSE_MS, record.pause_ms * 2)
        record.is_on_trial = True

    def is_avoided(self, endpoint: str, now_ms: int) -> bool:
        """Returns whether an endpoint gets no new requests at present."""
        record = self._records.get(endpoint)
        return record is not None and now_ms < record.avoided_until_ms

    def failure_share(self, endpoint: str) -> float:
        """Returns the share of recent calls that failed, 0 to about 1."""
        record = self._records.get(endpoint)
        if record is None or record.calls < 1:
            return 0.0
        return record.failures / (record.calls + 1)

    def calls_each(self, service: str, window_ms: int) -> float:
        """Returns the mean number of calls to an endpoint in a window."""
        call_counts = [
            r.calls for r in self._records.values() if r.service == service
        ]
        if not call_counts:
            return 0.0
        mean_lifetime_ms = HALF_LIFE_MS / math.log(2)
        return (
            sum(call_counts) / len(call_counts) * window_ms / mean_lifetime_ms
        )

    def forget(self, endpoint: str) -> None:
        """Drops the record of an endpoint that is gone."""
        self._records.pop(endpoint, None)

    def usable(self, endpoints: list[str], now_ms: int) -> list[str]:
        """Returns the endpoints that may get new requests.

        If most endpoints of a service would be avoided, the fault is probably
        not theirs, and avoiding them would stop the service. In that case
        those whose pause ends first are used too, up to half of all.
        """
        good = [e for e in endpoints if not self.is_avoided(e, now_ms)]
        min_count = (len(endpoints) + 1) // 2
        if len(good) >= min_count:
            return good
        avoided = [e for e in endpoints if self.is_avoided(e, now_ms)]
        avoided.sort(key=lambda e: self._records[e].avoided_until_ms)
        return good + avoided[: min_count - len(good)]

    def _is_bad(
        self, record: _Record, outcome: AttemptOutcome, now_ms: int
    ) -> bool:
        if outcome is AttemptOutcome.GOOD or now_ms < record.avoided_until_ms:
            return False
        if record.is_on_trial:
            return outcome.value >= AttemptOutcome.ERROR.value
        if record.failures < MIN_FAILURES:
            return False
        share = record.failures / max(1.0, record.calls)
        return share > MIN_SHARE and share > 2 * self._others_failure_share(
            record
        )

    def _others_failure_share(self, record: _Record) -> float:
        """Returns the failure share of the service's other endpoints."""
        others = [
            r
            for r in self._records.values()
            if r.service == record.service and r is not record
        ]
        calls = sum(r.calls for r in others)
        if calls < 1:
            return 0.0
        return sum(r.failures for r in others) / calls
