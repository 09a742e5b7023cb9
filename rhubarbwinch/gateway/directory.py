"""Chooses the gateways that a directory response names: a pure decision.

A response holds a limited number of addresses, and a large deployment has more
gateways. Callers close connections to gateways that a later response does not
name, so callers of one data centre get the same gateways each time.
"""

import attrs

from rhubarbwinch.gateway.decisions.eligibility import Regions
from rhubarbwinch.shared import rendezvous


@attrs.frozen
class DirectoryLookup:
    """A caller's question which gateways to use.

    Attributes:
        host: The host name that the caller wants to reach.
        data_center: The data centre nearest to the caller; empty if it is not
            known.
        region: The region nearest to the caller; empty if it is not known.
    """

    host: str
    data_center: str
    region: str = ""


@attrs.frozen
class ServingGateway:
    """A gateway that serves callers.

    Attributes:
        front: Its address for callers.
        data_center: Its data centre.
    """

    front: str
    data_center: str


def admissible_gateways(
    serving: list[ServingGateway],
    lookup: DirectoryLookup,
    home_regions: frozenset[str],
    regions: Regions,
) -> list[ServingGateway]:
    """Returns the gateways that may receive a host's requests.

    Those in the caller's own region, else those in the home regions. If none of
    them serves, all are returned: such a gateway still sends requests to
    endpoints in the home regions only.

    Args:
        serving: The gateways that serve callers.
        lookup: The caller's question.
        home_regions: The regions to which the host's requests are bound; empty
            if they are not.
        regions: The regions of the data centres.
    """
    if not home_regions:
        return serving
    for allowed in (frozenset({lookup.region}), home_regions):
        found = [g for g in serving if regions.is_home(g.data_center, allowed)]
        if found:
            return found
    return serving


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
