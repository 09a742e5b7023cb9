"""Decides which requests, and which parts of prompts, crash endpoints.

Pure code. It is meant for callers that send the same fatal request again and
again, or requests that are all different and share one fatal part, at any
gateway, while sound requests share the account and the other parts.

A crash counts against each part of a prompt that an endpoint had just begun to
answer. A part with which an answer is begun anywhere is harmless, and its
crashes no longer count. Of the parts of one request, only the one that is known
least as harmless is refused.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs

# Crashes after which a request, or a part that has not been harmless, is
# refused.
MAX_CRASHES = 3
# The same for a part that was harmless until recently. Requests that share it
# are often at endpoints that crash for another reason.
MAX_CRASHES_PROVEN = 5
# For how long a part counts as proven after it was harmless.
PROVEN_MS = 60_000
# Crashes of a suspect that is not refused are forgotten after this time.
SUSPECT_RETENTION_MS = 60_000
# A refusal lasts this long, and twice as long after each trial that crashes
# another endpoint.
REFUSAL_MS = 60_000
MAX_REFUSAL_MS = 3_600_000
# For how long nothing else is sent with a suspect that is being tried.
TRIAL_MS = 10_000
MAX_SUSPECTS = 2_000
MAX_HARMLESS = 10_000
# Refused suspects that a heartbeat lists.
MAX_LISTED = 8

_PART = "part:"


def part_key(part: str) -> str:
    """Returns the key of a part of a prompt."""
    return _PART + part


def request_key(fingerprint: str) -> str:
    """Returns the key of a whole request."""
    return "request:" + fingerprint


@attrs.frozen
class Crash:
    """A crash of an endpoint during a request.

    Attributes:
        endpoint: Identifies one start of the endpoint.
        request: The key of the request.
        parts: The keys of the shared parts of its prompt, in order; empty if
            the endpoint had already begun to answer.
        sent_ms: When the request was sent to the endpoint.
        at_ms: When the response was broken off.
    """

    endpoint: tuple[str, int]
    request: str
    parts: tuple[str, ...]
    sent_ms: int
    at_ms: int


@attrs.define
class _Suspect:
    """What is known against a request or a part.

    Attributes:
        crashes: The first report of each start of an endpoint that crashed.
        last_ms: When the last of them crashed.
        refused_until_ms: The end of the refusal; None if it is not refused.
        refusal_ms: The length of that refusal.
    """

    crashes: dict[tuple[str, int], Crash] = attrs.field(factory=dict)
    last_ms: int = 0
    refused_until_ms: int | None = None
    refusal_ms: int = REFUSAL_MS

    def add(self, crash: Crash) -> None:
        """Adds a crash; crashes of long ago are dropped."""
        is_old = crash.at_ms - self.last_ms > SUSPECT_RETENTION_MS
        if is_old and self.refused_until_ms is None:
            self.crashes.clear()
        self.crashes.setdefault(crash.endpoint, crash)
        self.last_ms = max(self.last_ms, crash.at_ms)

    @property
    def cause_count(self) -> int:
        """The number of crashes that can't have one cause.

        What ends several endpoints at once, such as the loss of a rack, ends
        them under requests that were all sent before.
        """
        count, last_ms = 0, 0
        for crash in sorted(self.crashes.values(), key=lambda c: c.at_ms):
            if not count or crash.sent_ms >= last_ms:
                count, last_ms = count + 1, crash.at_ms
        return count


class CrashSuspects:
    """Counts crashes by request and by part of a prompt.

    Args:
        may_try: Returns whether this gateway may try a suspect whose refusal
            has ended, which only one of all gateways does.
    """

    def __init__(self, may_try: Callable[[str], bool]) -> None:
        self._may_try = may_try
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._harmless: OrderedDict[str, int] = OrderedDict()

    def record_crash(self, crash: Crash, now_ms: int) -> list[str]:
        """Records a crash.

        Returns:
            The keys of the suspects that are refused from now on.
        """
        # A prompt may have a part twice.
        parts = tuple(dict.fromkeys(self._accused(crash)))
        for key in (crash.request, *parts):
            suspect = self._suspects.setdefault(key, _Suspect())
            self._suspects.move_to_end(key)
            suspect.add(crash)
            self._extend_refusal(suspect, now_ms)
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        refused = self._refuse_part(parts, now_ms)
        request = self._suspects[crash.request]
        if len(request.crashes) >= MAX_CRASHES and self._refuse(
            request, now_ms
        ):
            refused.append(crash.request)
        return refused

    def clear(self, key: str, harmless_ms: int) -> bool:
        """Clears a request or a part that was harmless at a time.

        Args:
            key: The key of the request or the part.
            harmless_ms: When an endpoint was found alive that had begun to
                answer it.

        Returns:
            Whether it was a suspect until now.
        """
        suspect = self._suspects.get(key)
        if suspect is not None and suspect.last_ms > harmless_ms:
            return False
        if suspect is not None or key.startswith(_PART):
            self._harmless[key] = max(harmless_ms, self._harmless.get(key, 0))
            self._harmless.move_to_end(key)
            if len(self._harmless) > MAX_HARMLESS:
                self._harmless.popitem(last=False)
        return self._suspects.pop(key, None) is not None

    def find_refused(self, keys: Iterable[str], now_ms: int) -> str | None:
        """Returns the first of the keys that is refused, or None."""
        for key in keys:
            suspect = self._suspects.get(key)
            if suspect is None or suspect.refused_until_ms is None:
                continue
            if now_ms < suspect.refused_until_ms or not self._may_try(key):
                return key
        return None

    def record_trial(self, keys: Iterable[str], now_ms: int) -> list[str]:
        """Records that a request with these keys is sent.

        Returns:
            The keys of the suspects that it tries.
        """
        tried = []
        for key in keys:
            suspect = self._suspects.get(key)
            if suspect is not None and suspect.refused_until_ms is not None:
                suspect.refused_until_ms = now_ms + TRIAL_MS
                tried.append(key)
        return tried

    def crash_count(self, key: str) -> int:
        """Returns the number of crashes that count against a key."""
        suspect = self._suspects.get(key)
        return len(suspect.crashes) if suspect is not None else 0

    def refused_keys(self) -> list[str]:
        """Returns the refused suspects, for the other gateways."""
        refused = [
            key
            for key, suspect in self._suspects.items()
            if suspect.refused_until_ms is not None
        ]
        return refused[-MAX_LISTED:]

    def adopt(self, key: str, now_ms: int) -> bool:
        """Refuses a suspect that another gateway refuses.

        Returns:
            Whether it is refused from now on; False if it is refused already,
            or known as harmless.
        """
        suspect = self._suspects.get(key)
        if suspect is None:
            if self.harmless_ms(key, now_ms) is not None:
                return False
            suspect = self._suspects[key] = _Suspect(last_ms=now_ms)
        return self._refuse(suspect, now_ms)

    def harmless_ms(self, key: str, now_ms: int) -> int | None:
        """Returns when a key was last harmless; None if that is long ago."""
        harmless_ms = self._harmless.get(key)
        if harmless_ms is None or now_ms - harmless_ms > PROVEN_MS:
            return None
        return harmless_ms

    def _accused(self, crash: Crash) -> tuple[str, ...]:
        """Returns the parts against which a crash counts."""
        refused = tuple(
            key
            for key in crash.parts
            if key in self._suspects
            and self._suspects[key].refused_until_ms is not None
        )
        # A refused part explains the crash.
        return refused or crash.parts

    def _refuse_part(self, parts: tuple[str, ...], now_ms: int) -> list[str]:
        """Refuses the part that is most suspect, if it has enough crashes."""
        fatal = [key for key in parts if self._has_enough_crashes(key, now_ms)]
        if not fatal:
            return []
        # The later a part stands in a prompt, the fewer requests share it.
        chosen = min(
            enumerate(fatal),
            key=lambda item: (
                self._is_proven(item[1], now_ms),
                -len(self._suspects[item[1]].crashes),
                self._harmless.get(item[1], -1),
                -item[0],
            ),
        )[1]
        if not self._refuse(self._suspects[chosen], now_ms):
            return []
        explained = self._suspects[chosen].crashes
        for key in parts:
            if key != chosen:
                self._drop_crashes(key, explained)
        return [chosen]

    def _has_enough_crashes(self, key: str, now_ms: int) -> bool:
        is_proven = self._is_proven(key, now_ms)
        limit = MAX_CRASHES_PROVEN if is_proven else MAX_CRASHES
        return self._suspects[key].cause_count >= limit

    def _is_proven(self, key: str, now_ms: int) -> bool:
        return self.harmless_ms(key, now_ms) is not None

    def _drop_crashes(self, key: str, explained: Iterable[object]) -> None:
        """Drops the crashes of a suspect that another suspect explains."""
        suspect = self._suspects[key]
        suspect.crashes = {
            endpoint: crash
            for endpoint, crash in suspect.crashes.items()
            if endpoint not in explained
        }
        if not suspect.crashes:
            del self._suspects[key]

    def _refuse(self, suspect: _Suspect, now_ms: int) -> bool:
        """Refuses a suspect; returns False if it is refused already."""
        if suspect.refused_until_ms is not None:
            return False
        suspect.refused_until_ms = now_ms + suspect.refusal_ms
        return True

    def _extend_refusal(self, suspect: _Suspect, now_ms: int) -> None:
        """Refuses a suspect for longer whose trial has crashed an endpoint."""
        if suspect.refused_until_ms is None:
            return
        if now_ms >= suspect.refused_until_ms - TRIAL_MS:
            suspect.refusal_ms = min(MAX_REFUSAL_MS, 2 * suspect.refusal_ms)
        suspect.refused_until_ms = max(
            suspect.refused_until_ms, now_ms + suspect.refusal_ms
        )
