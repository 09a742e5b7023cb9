"""Reads the platform's list of live and leaving VMs, which may be outdated."""

import enum
from collections.abc import Callable
from typing import Protocol

import attrs
import httpx
import orjson

from rhubarbwinch.membership.leavingvms import (
    NOTICE_REPEAT_MS,
    LeavingVms,
    Notice,
)
from rhubarbwinch.membership.members import Members, Role
from rhubarbwinch.shared import events, rendezvous
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import VmListError
from rhubarbwinch.shared.registry import Registry

POLL_INTERVAL_MS = 500
READ_TIMEOUT_S = 2.0


class VmState(enum.StrEnum):
    """The state of a VM on the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """A VM on the list.

    Attributes:
        host: The VM's IP address.
        state: The VM's state.
    """

    host: str
    state: VmState


class VmList(Protocol):
    """Reads the platform's list."""

    async def read(self) -> list[Vm]:
        """Returns the list.

        Raises:
            VmListError: The list can't be read.
        """
        ...


# Builds a list's reader from its address, `a.b.c.d:port`.
VmListFactory = Callable[[str], VmList]

VM_LISTS: Registry[VmListFactory] = Registry("VM list adapter")


@VM_LISTS.register("json")
class JsonVmList:
    """Reads `GET /vms`: `[{"host": "10.0.0.1", "state": "leaving"}, ...]`.

    Args:
        address: `a.b.c.d:port` of the list.
    """

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}/vms"
        self._client = httpx.AsyncClient(timeout=READ_TIMEOUT_S)

    async def read(self) -> list[Vm]:
        """Returns the list.

        Raises:
            VmListError: The list can't be read.
        """
        try:
            response = await self._client.get(self._url)
            items = orjson.loads(response.raise_for_status().content)
            return [Vm(i["host"], VmState(i["state"])) for i in items]
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            raise VmListError(f"{self._url}: {error!r}") from error


class VmListReader:
    """Reads the list at one control and broadcasts which VMs are leaving.

    The list may be outdated or wrong. So it never marks a member as dead, and
    a VM that is missing from the list does not count as leaving. While the
    list can't be read, its last content stays valid.

    Args:
        vms: The list.
        members: The controls among which the reader of the list is chosen.
        leaving: Receives and broadcasts the notices.
        clock: The source of time.
    """

    def __init__(
        self, vms: VmList, members: Members, leaving: LeavingVms, clock: Clock
    ) -> None:
        self._vms = vms
        self._members = members
        self._leaving = leaving
        self._clock = clock
        self._broadcast_at: dict[str, int] = {}
        self._is_list_failing = False

    async def run(self) -> None:
        """Reads the list until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep(POLL_INTERVAL_MS)

    async def step(self) -> None:
        """Reads the list once if this control is the elected reader."""
        names = [m.name for m in self._members.serving(Role.CONTROL)]
        if rendezvous.owner("vm-list", names) != self._members.me.name:
            self._broadcast_at.clear()
            return
        try:
            vms = await self._vms.read()
        except VmListError as error:
            if not self._is_list_failing:
                events.VM_LIST_SILENT.log(error=str(error))
            self._is_list_failing = True
            # Repeats the last notices, so that they don't expire meanwhile.
            vms = [Vm(host, VmState.LEAVING) for host in self._broadcast_at]
        else:
            self._is_list_failing = False
        self._broadcast_notices(vms)

    def _broadcast_notices(self, vms: list[Vm]) -> None:
        now = self._clock.now()
        leaving = {vm.host for vm in vms if vm.state is VmState.LEAVING}
        live = {vm.host for vm in vms if vm.state is VmState.LIVE}
        for host in sorted(leaving):
            if (
                now - self._broadcast_at.get(host, -NOTICE_REPEAT_MS)
                >= NOTICE_REPEAT_MS
            ):
                self._broadcast_at[host] = now
                self._leaving.broadcast(host, Notice.LEAVING)
        for host in sorted(set(self._broadcast_at) - leaving):
            del self._broadcast_at[host]
            if host in live:
                self._leaving.broadcast(host, Notice.LIVE)
