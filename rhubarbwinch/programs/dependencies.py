"""External dependencies of a daemon, replaced as a whole for embedding."""

import attrs

from rhubarbwinch.links.linkinterfaces import RunningListener, RunningPeerCaller
from rhubarbwinch.links.links import Links, LinkServer
from rhubarbwinch.programs.config import Settings
from rhubarbwinch.shared import identifiers
from rhubarbwinch.shared.clock import Clock, SystemClock
from rhubarbwinch.stores.store import STORES, Store


@attrs.frozen
class Dependencies:
    """The external dependencies of a daemon.

    Attributes:
        clock: The source of time.
        store: The platform's store.
        links: Calls peers.
        gossip_links: Calls peers for heartbeats. These links are separate, so
            that no heartbeat waits for a large message and other traffic does
            not close the connections to the peers.
        server: Handles the calls of peers.
        incarnation: The process's incarnation, new at each start.
        is_embedded: Whether another program serves HTTP and handles signals.
    """

    clock: Clock
    store: Store
    links: RunningPeerCaller
    gossip_links: RunningPeerCaller
    server: RunningListener
    incarnation: int
    is_embedded: bool = False


def make_dependencies(settings: Settings) -> Dependencies:
    """Builds the dependencies of a process from its settings."""
    incarnation = identifiers.new_incarnation()
    make_store = STORES.get(settings.store_kind)
    return Dependencies(
        clock=SystemClock(),
        store=make_store(settings.store, settings.store_timeout_ms),
        links=Links(incarnation, settings.link_keys),
        gossip_links=Links(incarnation, settings.link_keys),
        server=LinkServer(settings.link, settings.link_keys),
        incarnation=incarnation,
    )
