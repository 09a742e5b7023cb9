"""The control: accepts operators' records."""

from rhubarbwinch.config import ControlSettings
from rhubarbwinch.daemon import Daemon
from rhubarbwinch.members import Role
from rhubarbwinch.publisher import Publisher
from rhubarbwinch.publishing import Publishing
from rhubarbwinch.vmlist import VM_LISTS, VmListReader


class Control:
    """The control's program.

    Args:
        settings: What it was told.
    """

    def __init__(self, settings: ControlSettings) -> None:
        self._daemon = daemon = Daemon(Role.CONTROL, settings)
        publisher = Publisher(daemon.store, daemon.follower)
        self._publishing = Publishing(
            publisher, daemon.store, daemon.members, daemon.clock
        )
        self._vms = None
        if settings.vm_list:
            make_list = VM_LISTS.get(settings.vm_list_kind)
            self._vms = VmListReader(
                make_list(settings.vm_list),
                daemon.members,
                daemon.leaving,
                daemon.clock,
            )

    async def run(self) -> None:
        """Runs until asked to stop."""
        self._daemon.add("publisher", self._publishing.run)
        if self._vms is not None:
            self._daemon.add("vm-list", self._vms.run)
        await self._daemon.run()
