"""The control program, which publishes records and sends orders."""

import anyio

from rhubarbwinch.configuration.publisher import Publisher
from rhubarbwinch.configuration.publisherloop import PublisherLoop
from rhubarbwinch.http.httpapi import App
from rhubarbwinch.membership.members import Role
from rhubarbwinch.membership.vmlist import VM_LISTS, VmListReader
from rhubarbwinch.orders.fencing import Fencing
from rhubarbwinch.orders.pauseguard import end_if_paused
from rhubarbwinch.orders.reconciler import (
    ENGINE_ADAPTERS,
    LoadRateLimiter,
    Reconciler,
)
from rhubarbwinch.programs.config import ControlSettings
from rhubarbwinch.programs.daemon import Daemon

MAX_BODY_BYTES = 64 << 10
ORDER_PERIOD_MS = 1000
RENEWALS_PER_LEASE = 5


class Control:
    """The control program.

    Args:
        settings: The control's settings.
    """

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._daemon = daemon = Daemon(Role.CONTROL, settings)
        publisher = Publisher(daemon.store, daemon.config)
        self._publisher_loop = PublisherLoop(
            publisher, daemon.store, daemon.members, daemon.clock
        )
        self._vm_list_reader = None
        if settings.vm_list:
            make_list = VM_LISTS.get(settings.vm_list_kind)
            self._vm_list_reader = VmListReader(
                make_list(settings.vm_list),
                daemon.members,
                daemon.leaving,
                daemon.clock,
            )
        make_client = ENGINE_ADAPTERS.get(settings.engine_adapter)
        self._engine_client = make_client(settings.order_flight_ms)
        self._fencing = Fencing(
            self._daemon.store,
            self._daemon.clock,
            settings.name,
            self._daemon.incarnation,
            settings.order_lease_ms,
            settings.order_flight_ms,
        )
        self._reconciler = Reconciler(
            settings.name,
            self._fencing,
            self._engine_client,
            LoadRateLimiter(self._daemon.clock, settings.loads_per_minute),
            end_if_paused,
        )

    async def run(self) -> None:
        """Runs until the program is stopped."""
        self._daemon.serve_http(App(MAX_BODY_BYTES))
        self._daemon.add("publisher", self._publisher_loop.run)
        if self._vm_list_reader is not None:
            self._daemon.add("vm-list", self._vm_list_reader.run)
        self._daemon.add("order-lease", self._renew_lease)
        self._daemon.add("orders", self._send_orders)
        await self._daemon.run()
        await self._engine_client.close()

    @property
    def _control_names(self) -> list[str]:
        return [m.name for m in self._daemon.members.serving(Role.CONTROL)]

    async def _renew_lease(self) -> None:
        """Renews the lease for orders.

        This is a task of its own because slow endpoints delay the orders.
        """
        period_ms = self._settings.order_lease_ms // RENEWALS_PER_LEASE
        try:
            while True:
                snapshot = self._daemon.config.snapshot
                await self._reconciler.renew_and_acquire(
                    snapshot, self._control_names
                )
                await self._daemon.clock.sleep(period_ms)
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(1):
                await self._fencing.close()

    async def _send_orders(self) -> None:
        while True:
            snapshot = self._daemon.config.snapshot
            await self._reconciler.reconcile(snapshot, len(self._control_names))
            await self._daemon.clock.sleep(ORDER_PERIOD_MS)
