"""Decides who may serve a request, apart from load: pure decisions.

Requests of routes and client accounts with home regions stay in these regions,
also while the home regions are full or evacuated and others are idle.
"""

from collections.abc import Mapping

import attrs

from rhubarbwinch.gateway.endpoints import Endpoint


@attrs.frozen
class Regions:
    """The regions of the data centres.

    Attributes:
        by_data_center: The region of each data centre that is known.
    """

    by_data_center: Mapping[str, str] = attrs.field(factory=dict)

    def is_home(
        self, data_center: str, home_regions: frozenset[str] | None
    ) -> bool:
        """Returns whether a data centre is in one of the home regions.

        Args:
            data_center: The data centre.
            home_regions: The regions; None if there is no restriction.
        """
        if home_regions is None:
            return True
        return self.by_data_center.get(data_center, "") in home_regions


@attrs.frozen
class Needs:
    """What a request needs of an endpoint.

    Attributes:
        service: The service that serves it.
        version: The only software version that can serve it; None if all can.
        home_regions: The only regions that may serve it; None if all may.
    """

    service: str
    version: str | None = None
    home_regions: frozenset[str] | None = None

    def admits(self, endpoint: Endpoint, regions: Regions) -> bool:
        """Returns whether an endpoint of the service may serve the request."""
        return self.version in (None, endpoint.version) and regions.is_home(
            endpoint.data_center, self.home_regions
        )


def combine_home_regions(
    *restrictions: frozenset[str],
) -> frozenset[str] | None:
    """Returns the regions that all restrictions allow.

    Args:
        restrictions: The home regions of a route or a client account each; an
            empty set is no restriction.

    Returns:
        The regions, maybe none; None if there is no restriction.
    """
    found: frozenset[str] | None = None
    for regions in restrictions:
        if regions:
            found = regions if found is None else found & regions
    return found
