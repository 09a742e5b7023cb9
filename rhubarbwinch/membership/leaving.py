"""Which VMs leave: from operators' records and from the platform's list."""

import enum
from collections.abc import Callable

from rhubarbwinch.membership.gossip import Gossip
from rhubarbwinch.records.accepted import Snapshot
from rhubarbwinch.records.records import PoolSpec
from rhubarbwinch.shared import events, misc
from rhubarbwinch.shared.clock import Clock

RUMOUR = "vm"
# A notice from the list that nobody repeats is dropped after this time.
NOTICE_MS = 90_000
# Shorter than the life of a rumour: a member that starts hears it from its
# neighbours.
REPEAT_MS = 20_000


class Notice(enum.StrEnum):
    """What the platform's list says of a VM."""

    LEAVING = "leaving"
    LIVE = "live"


class LeavingVms:
    """The VMs that get no new work, as all members know them.

    Args:
        gossip: Tells the members.
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
        """The IP numbers of the VMs that leave."""
        return self._by_record | set(self._by_list)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change."""
        self._listeners.append(listener)

    def endpoints_of(self, spec: PoolSpec) -> set[str]:
        """Returns the names of a pool's endpoints that leave."""
        hosts = self.hosts
        return {
            endpoint.name
            for endpoint in spec.endpoints
            if misc.split_address(endpoint.address)[0] in hosts
        }

    def configure(self, snapshot: Snapshot) -> None:
        """Takes the VMs that operators' records mark."""
        self._by_record = {h for h, vm in snapshot.vms.items() if vm.leaving}
        self._tell()

    def share(self, host: str, notice: Notice) -> None:
        """Tells all members what the platform's list says of a VM."""
        self._gossip.share(RUMOUR, host, notice.encode())
        self._take(host, notice)

    def expire(self) -> None:
        """Drops notices that nobody repeats."""
        now = self._clock.now()
        for host in [h for h, until in self._by_list.items() if until <= now]:
            del self._by_list[host]
        self._tell()

    async def run(self) -> None:
        """Keeps the notices until cancelled."""
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
