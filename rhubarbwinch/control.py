"""The control: accepts operators' records."""

from rhubarbwinch import keys
from rhubarbwinch.config import ControlSettings
from rhubarbwinch.daemon import Daemon
from rhubarbwinch.exceptions import CodecError, StoreError
from rhubarbwinch.members import Role
from rhubarbwinch.publisher import Publisher

RETRY_MS = 500


class Control:
    """The control's program.

    Args:
        settings: What it was told.
    """

    def __init__(self, settings: ControlSettings) -> None:
        self._daemon = Daemon(Role.CONTROL, settings)
        self._publisher = Publisher(self._daemon.store)

    async def run(self) -> None:
        """Runs until asked to stop."""
        self._daemon.add("publisher", self._publish)
        await self._daemon.run()

    async def _publish(self) -> None:
        store = self._daemon.store
        while True:
            try:
                listing = await store.scan(keys.RECORDS)
                await self._publisher.publish()
                async for _ in store.watch(keys.RECORDS, listing.revision):
                    await self._publisher.publish()
            except (StoreError, CodecError):
                await self._daemon.clock.sleep(RETRY_MS)
