"""Tracks the leaving VMs, from operators' records and the platform's list."""

import enum
from collections.abc import Callable

from rhubarbwinch.membership.gossip import Gossip
from rhubarbwinch.records.acceptedconfig import ConfigSnapshot
from rhubarbwinch.records.records import PoolSpec
from rhubarbwinch.shared import events, netaddress
from rhubarbwinch.shared.clock import Clock

UPDATE_KIND = "vm"
# A notice from the list expires after this time unless it is repeated.
NOTICE_TTL_MS = 90_000
# Shorter than the time for which gossip keeps an update, so that a member
# that starts receives the notice from its neighbours.
NOTICE_REPEAT_MS = 20_000


class Notice(enum.StrEnum):
    """The state of a VM on the platform's list, as broadcast by gossip."""

    LEAVING = "leaving"
    LIVE = "live"


class LeavingVms:
    """The VMs that get no new work; the set is shared by gossip.

    Args:
        gossip: Broadcasts notices to the members.
        clock: The source of time.
    """

    def __init__(self, gossip: Gossip, clock: Clock) -> None:
        self._gossip = gossip
        self._clock = clock
        self._hosts_from_records: set[str] = set()
        self._notice_expires_at: dict[str, int] = {}
        self._last_hosts: set[str] = set()
        self._listeners: list[Callable[[], None]] = []
        gossip.on_update(UPDATE_KIND, self._handle_update)

    @property
    def hosts(self) -> set[str]:
        """The IP addresses of the leaving VMs."""
        return self._hosts_from_records | set(self._notice_expires_at)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change."""
        self._listeners.append(listener)

    def leaving_endpoints(self, spec: PoolSpec) -> set[str]:
        """Returns the names of a pool's endpoints that run on leaving VMs."""
        hosts = self.hosts
        return {
            endpoint.name
            for endpoint in spec.endpoints
            if netaddress.parse_address(endpoint.address)[0] in hosts
        }

    def configure(self, snapshot: ConfigSnapshot) -> None:
        """Applies the VM records of a new snapshot."""
        self._hosts_from_records = {
            h for h, vm in snapshot.vms.items() if vm.leaving
        }
        self._notify_if_changed()

    def broadcast(self, host: str, notice: Notice) -> None:
        """Broadcasts the state of a VM on the platform's list."""
        self._gossip.broadcast(UPDATE_KIND, host, notice.encode())
        self._apply_notice(host, notice)

    def expire(self) -> None:
        """Drops notices that were not repeated in time."""
        now = self._clock.now()
        for host in [
            h for h, until in self._notice_expires_at.items() if until <= now
        ]:
            del self._notice_expires_at[host]
        self._notify_if_changed()

    async def run(self) -> None:
        """Drops expired notices periodically until cancelled."""
        while True:
            await self._clock.sleep(NOTICE_REPEAT_MS)
            self.expire()

    async def _handle_update(self, host: str, data: bytes) -> None:
        self._apply_notice(host, Notice(data.decode()))

    def _apply_notice(self, host: str, notice: Notice) -> None:
        if notice is Notice.LEAVING:
            self._notice_expires_at[host] = self._clock.now() + NOTICE_TTL_MS
        else:
            self._notice_expires_at.pop(host, None)
        self._notify_if_changed()

    def _notify_if_changed(self) -> None:
        hosts = self.hosts
        for host in sorted(hosts ^ self._last_hosts):
            events.VM_LEAVING.log(vm=host, leaving=host in hosts)
        if hosts == self._last_hosts:
            return
        self._last_hosts = hosts
        for listener in self._listeners:
            listener()
