"""What each endpoint should have loaded, and the orders that bring it there."""

import enum

import attrs

from rhubarbwinch.records.accepted import Snapshot


class OrderKind(enum.StrEnum):
    """What an order asks of an endpoint."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set-role"


@attrs.frozen
class Order:
    """An idempotent order: given twice, it has the effect of once.

    Attributes:
        kind: What is asked.
        subject: `model@version`, `model@version+adapter` or a role's name.
    """

    kind: OrderKind
    subject: str


@attrs.frozen
class EndpointState:
    """What an endpoint has loaded and which role it has.

    Attributes:
        loaded: Subjects of load orders.
        role: `mixed`, `prefill` or `decode`.
    """

    loaded: frozenset[str] = frozenset()
    role: str = "mixed"


def wanted_loads(snapshot: Snapshot, target: str) -> frozenset[str]:
    """Returns what the services of a model need its endpoints to have."""
    found = set()
    for service in snapshot.services.values():
        if service.kind != "generate" or service.target != target:
            continue
        base = f"{target}@{service.version}"
        found.add(base)
        if service.adapter:
            found.add(f"{base}+{service.adapter}")
    return frozenset(found)


def orders_towards(wanted: EndpointState, actual: EndpointState) -> list[Order]:
    """Returns the orders that lead from the actual to the wanted state.

    Loads come before unloads, so that an endpoint never has nothing to serve
    with in between; a model comes before its adapters.
    """
    orders = [
        Order(OrderKind.LOAD, subject)
        for subject in sorted(wanted.loaded - actual.loaded)
    ]
    if wanted.role != actual.role:
        orders.append(Order(OrderKind.SET_ROLE, wanted.role))
    orders += [
        Order(OrderKind.UNLOAD, subject)
        for subject in sorted(actual.loaded - wanted.loaded, reverse=True)
    ]
    return orders
