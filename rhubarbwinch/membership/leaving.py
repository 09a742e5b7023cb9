"""Tracks the leaving VMs, from operators' records and the platform's list."""

import enum
from collections.abc import Callable

from rhubarbwinch.membership.gossip import Gossip
from rhubarbwinch.records.accepted import Snapshot
from rhubarbwinch.records.records import PoolSpec
from rhubarbwinch.shared import events, misc
from rhubarbwinch.shared.clock import Clock

RUMOUR = "vm"
# A notice from the list expires after this time unless it is repeated.
NOTICE_MS = 90_000
# Shorter than the time for which gossip keeps an update, so that a member
# that starts receives the notice from its neighbours.
REPEAT_MS = 20_000


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
        self._by_record: set[str] = set()
        self._by_list: dict[str, int] = {}
        self._last: set[str] = set()
        self._listeners: list[Callable[[], None]] = []
        gossip.on(RUMOUR, self._take_news)

    @property
    def hosts(self) -> set[str]:
        """The IP addresses of the leaving VMs."""
        return self._by_record | set(self._by_list)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change."""
        self._listeners.append(listener)

    def endpoints_of(self, spec: PoolSpec) -> set[str]:
        """Returns the names of a pool's endpoints that run on leaving VMs."""
        hosts = self.hosts
        return {
            endpoint.name
            for endpoint in spec.endpoints
            if misc.split_address(endpoint.address)[0] in hosts
        }

    def configure(self, snapshot: Snapshot) -> None:
        """Applies the VM records of a new snapshot."""
        self._by_record = {h for h, vm in snapshot.vms.items() if vm.leaving}
        self._tell()

    def share(self, host: str, notice: Notice) -> None:
        """Broadcasts the state of a VM on the platform's list."""
        self._gossip.share(RUMOUR, host, notice.encode())
        self._take(host, notice)

    def expire(self) -> None:
        """Drops notices that were not repeated in time."""
        now = self._clock.now()
        for host in [h for h, until in self._by_list.items() if until <= now]:
            del self._by_list[host]
        self._tell()

    async def run(self) -> None:
        """Drops expired notices periodically until cancelled."""
        while True:
            await self._clock.sleep(REPEAT_MS)
            self.expire()

    async def _take_news(self, host: str, data: bytes) -> None:
        self._take(host, Notice(data.decode()))

    def _take(self, host: str, notice: Notice) -> None:
        if notice is Notice.LEAVING:
            self._by_list[host] = self._clock.now() + NOTICE_MS
        else:
            self._by_list.pop(host, None)
        self._tell()

    def _tell(self) -> None:
        hosts = self.hosts
        for host in sorted(hosts ^ self._last):
            events.VM_LEAVING.log(vm=host, leaving=host in hosts)
        if hosts == self._last:
            return
        self._last = hosts
        for listener in self._listeners:
            listener()
