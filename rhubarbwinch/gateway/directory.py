"""Chooses the gateways that a directory response names: a pure decision.

A response holds a limited number of addresses, and a large deployment has more
gateways. Callers close connections to gateways that a later response does not
name, so callers of one data centre get the same gateways each time.
"""

import attrs

from rhubarbwinch.shared import rendezvous


@attrs.frozen
class DirectoryLookup:
    """A caller's question which gateways to use.

    Attributes:
        host: The host name that the caller wants to reach.
        data_center: The data centre nearest to the caller; empty if it is not
            known.
    """

    host: str
    data_center: str


@attrs.frozen
class ServingGateway:
    """A gateway that serves callers.

    Attributes:
        front: Its address for callers.
        data_center: Its data centre.
    """

    front: str
    data_center: str


def choose_gateways(
    serving: list[ServingGateway], lookup: DirectoryLookup, limit: int
) -> list[str]:
    """Returns the addresses for a response, at most `limit`.

    If not all fit, those of the caller's data centre come first. The others are
    chosen by rendezvous hashing, so that each data centre's callers use
    different ones, and that the loss of a gateway replaces only that one.
    """
    fronts = [gateway.front for gateway in serving]
    if len(fronts) <= limit:
        return sorted(fronts)
    near = {g.front for g in serving if g.data_center == lookup.data_center}
    ranked = rendezvous.ranking(lookup.data_center, fronts)
    ranked.sort(key=lambda front: front not in near)
    return sorted(ranked[:limit])
