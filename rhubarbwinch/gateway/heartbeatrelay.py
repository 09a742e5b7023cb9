"""Forwards the heartbeats of one data centre's gateways: pure decisions.

Heartbeats from each gateway to all others would grow with the square of the
number of gateways. Instead each gateway sends its heartbeats to the relays of
its data centre. A relay forwards what is new, in a few datagrams, to the
gateways of its data centre and to the relays of the others. So the datagrams
that a gateway receives grow far more slowly than the deployment.

Only the first relay of a data centre forwards. The second one knows the same
and takes over when the first one is silent.
"""

import math
from collections.abc import Mapping

import attrs

from rhubarbwinch.gateway.decisions.rolechoice import rank_for_role
from rhubarbwinch.gateway.messages import (
    BeatNotice,
    Heartbeat,
    HeartbeatDigest,
)
from rhubarbwinch.shared import codec

# Up to this number of peers, heartbeats go directly to all of them.
MAX_DIRECT_PEERS = 8
# Gateways of a data centre that collect its heartbeats; one is a spare.
RELAY_COUNT = 2
# Changes within this time share a digest. It delays what a gateway knows of the
# load of others.
FORWARD_MS = 15
# Heartbeats without a change share a digest for this time. The digests tell the
# spare relay that the first one is alive.
QUIET_FORWARD_MS = 200
# The spare relay takes over after two missing digests and a margin.
TAKEOVER_MS = 600
# A gateway without a digest for this time sends its heartbeats to all gateways
# of its data centre and to all relays. With the heartbeat interval this is less
# than the time after which a silent peer counts as dead.
DIGEST_TIMEOUT_MS = 650
# How often a gateway that is no relay checks whether it has become one.
ROLE_CHECK_MS = 100
# The whole state of a gateway is repeated at this interval, for receivers that
# have missed a datagram.
FULL_INTERVAL_MS = 2_100
# A heartbeat whose sender had a response from the store within this time tells
# others that they need not call the store, so it is not delayed.
FRESH_MS = 1_500
# A digest must fit into one datagram.
MAX_DIGEST_BYTES = 1_150
NOTICE_BYTES = 40
# Share of its network link that a relay uses for digests. The rest is for its
# callers and for what it sends to endpoints.
MAX_LINK_SHARE = 0.25
# A relay with a small link forwards less often, but not so late that the others
# take it for lost.
MAX_PACE_MS = 400
# Headers of a datagram and the name of its message class.
DATAGRAM_OVERHEAD_BYTES = 64
_BYTES_PER_MS_PER_MBPS = 125


def choose_relays(links_mbps: Mapping[str, int]) -> list[str]:
    """Returns the relays of a data centre, the one that forwards first.

    Args:
        links_mbps: The capacity of the network link of each gateway of the data
            centre in Mbit/s, by its link address; 0 if it is not known.
    """
    return rank_for_role("relay", links_mbps)[:RELAY_COUNT]


@attrs.define
class _Forwarded:
    """What was last forwarded of a gateway.

    Attributes:
        state: The state, without the fields that each heartbeat changes.
        at_ms: When the whole state was forwarded last.
    """

    state: Heartbeat
    at_ms: int


@attrs.define
class _Outgoing:
    """What is to be forwarded: whole heartbeats, or notices by sender."""

    heartbeats: dict[str, Heartbeat] = attrs.field(factory=dict)
    notices: dict[str, BeatNotice] = attrs.field(factory=dict)

    def add(self, heartbeat: Heartbeat) -> None:
        """Adds a whole heartbeat, which replaces earlier ones of its sender."""
        self.heartbeats[heartbeat.name] = heartbeat
        self.notices.pop(heartbeat.name, None)

    def add_notice(self, notice: BeatNotice) -> None:
        """Adds a notice, unless a whole heartbeat of its sender waits."""
        waiting = self.heartbeats.get(notice.name)
        if waiting is None:
            self.notices[notice.name] = notice
            return
        self.heartbeats[notice.name] = attrs.evolve(
            waiting, incarnation=notice.incarnation, sequence=notice.sequence
        )


class HeartbeatRelay:
    """Collects heartbeats and decides when and what to forward.

    Args:
        name: The name of this gateway.
        data_center: The data centre of this gateway.
        link_mbps: The capacity of its network link in Mbit/s; 0 if it is not
            known.
    """

    def __init__(self, name: str, data_center: str, link_mbps: int = 0) -> None:
        self._name = name
        self._data_center = data_center
        self._bytes_per_ms = MAX_LINK_SHARE * _BYTES_PER_MS_PER_MBPS * link_mbps
        self._paced_until_ms = 0
        self._own = _Outgoing()
        self._foreign = _Outgoing()
        self._forwarded: dict[str, _Forwarded] = {}
        self._changed_ms: int | None = None
        self._flushed_ms = 0

    def collect(self, heartbeat: Heartbeat, now_ms: int) -> None:
        """Takes a heartbeat that its sender has sent to this relay."""
        is_own = heartbeat.data_center == self._data_center
        outgoing = self._own if is_own else self._foreign
        state = _state(heartbeat)
        last = self._forwarded.get(heartbeat.name)
        is_changed = last is None or last.state != state
        is_fresh = heartbeat.confirmed_ms <= FRESH_MS
        if is_changed or is_fresh:
            self._mark_changed(now_ms)
        elif last is not None and now_ms - last.at_ms < FULL_INTERVAL_MS:
            outgoing.add_notice(
                BeatNotice(
                    heartbeat.name, heartbeat.incarnation, heartbeat.sequence
                )
            )
            return
        self._forwarded[heartbeat.name] = _Forwarded(state, now_ms)
        outgoing.add(heartbeat)

    def collect_digest(self, digest: HeartbeatDigest, now_ms: int) -> None:
        """Takes what a relay of another data centre has forwarded."""
        if digest.is_urgent:
            self._mark_changed(now_ms)
        for heartbeat in digest.heartbeats:
            self._foreign.add(heartbeat)
        for notice in digest.notices:
            self._foreign.add_notice(notice)

    def drop_collected(self) -> None:
        """Drops what the first relay has forwarded instead of this one."""
        self._own, self._foreign = _Outgoing(), _Outgoing()
        self._changed_ms = None

    def forget(self, name: str) -> None:
        """Forgets a gateway that is gone."""
        self._forwarded.pop(name, None)

    def is_due(self, now_ms: int) -> bool:
        """Returns whether it is time to forward what was collected."""
        if now_ms < self._paced_until_ms:
            return False
        if self._changed_ms is not None:
            return now_ms - self._changed_ms >= FORWARD_MS
        return now_ms - self._flushed_ms >= QUIET_FORWARD_MS

    def take(
        self, now_ms: int
    ) -> tuple[list[HeartbeatDigest], list[HeartbeatDigest]]:
        """Returns the digests to send, and empties what was collected.

        Returns:
            The digests for the relays of other data centres, and those for the
            gateways of this one.
        """
        is_urgent = self._changed_ms is not None
        own = self._digests(self._own, is_urgent)
        foreign = self._digests(self._foreign, is_urgent)
        self.drop_collected()
        self._flushed_ms = now_ms
        return own, own + foreign

    def record_sent(
        self, digest: HeartbeatDigest, receivers: int, now_ms: int
    ) -> None:
        """Records that a digest was sent, which may delay the next one."""
        if not self._bytes_per_ms:
            return
        size = len(codec.encode(digest)) + DATAGRAM_OVERHEAD_BYTES
        start_ms = max(now_ms, self._paced_until_ms)
        pace_ms = math.ceil(size * receivers / self._bytes_per_ms)
        self._paced_until_ms = min(start_ms + pace_ms, now_ms + MAX_PACE_MS)

    def snapshot(self, heartbeats: list[Heartbeat]) -> list[HeartbeatDigest]:
        """Returns digests of known heartbeats, for a gateway that starts."""
        known = _Outgoing({h.name: h for h in heartbeats})
        return self._digests(known, False)

    def _mark_changed(self, now_ms: int) -> None:
        if self._changed_ms is None:
            self._changed_ms = now_ms

    def _digests(
        self, outgoing: _Outgoing, is_urgent: bool
    ) -> list[HeartbeatDigest]:
        """Splits what is to be forwarded into digests that fit a datagram."""
        digests: list[HeartbeatDigest] = []
        size = MAX_DIGEST_BYTES
        for heartbeat in outgoing.heartbeats.values():
            heartbeat_bytes = len(codec.encode(heartbeat))
            if size + heartbeat_bytes > MAX_DIGEST_BYTES:
                digests.append(self._empty_digest(is_urgent))
                size = 0
            digests[-1].heartbeats.append(heartbeat)
            size += heartbeat_bytes
        for notice in outgoing.notices.values():
            if size + NOTICE_BYTES > MAX_DIGEST_BYTES:
                digests.append(self._empty_digest(is_urgent))
                size = 0
            digests[-1].notices.append(notice)
            size += NOTICE_BYTES
        return digests

    def _empty_digest(self, is_urgent: bool) -> HeartbeatDigest:
        return HeartbeatDigest(self._name, self._data_center, is_urgent)


def _state(heartbeat: Heartbeat) -> Heartbeat:
    """Returns a heartbeat without the fields that change without an event."""
    is_fresh = heartbeat.confirmed_ms <= FRESH_MS
    return attrs.evolve(
        heartbeat,
        sequence=0,
        revision=heartbeat.revision if is_fresh else 0,
        confirmed_ms=0,
        store_available_ms=0,
    )
