"""Computes an endpoint's desired state and the orders that lead to it."""

import enum

import attrs

from rhubarbwinch.records.acceptedconfig import ConfigSnapshot


class OrderKind(enum.StrEnum):
    """The action that an order requests from an endpoint."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set-role"


@attrs.frozen
class Order:
    """An idempotent order to an endpoint.

    Attributes:
        kind: The requested action.
        subject: `model@version`, `model@version+adapter` or a role's name.
    """

    kind: OrderKind
    subject: str


@attrs.frozen
class LoadedState:
    """The models and adapters that an endpoint has loaded, and its role.

    Attributes:
        loaded: The models and adapters, named as subjects of load orders.
        role: `mixed`, `prefill` or `decode`.
    """

    loaded: frozenset[str] = frozenset()
    role: str = "mixed"


def desired_loads(snapshot: ConfigSnapshot, target: str) -> frozenset[str]:
    """Returns what a model's endpoints must have loaded for its services."""
    subjects = set()
    for service in snapshot.services.values():
        if service.kind != "generate" or service.target != target:
            continue
        base = f"{target}@{service.version}"
        subjects.add(base)
        if service.adapter:
            subjects.add(f"{base}+{service.adapter}")
    return frozenset(subjects)


def orders_to_reach(desired: LoadedState, actual: LoadedState) -> list[Order]:
    """Returns the orders that lead from the actual to the desired state.

    Loads come before unloads, so that an endpoint always has something loaded
    that it can serve. A model is loaded before its adapters.
    """
    orders = [
        Order(OrderKind.LOAD, subject)
        for subject in sorted(desired.loaded - actual.loaded)
    ]
    if desired.role != actual.role:
        orders.append(Order(OrderKind.SET_ROLE, desired.role))
    orders += [
        Order(OrderKind.UNLOAD, subject)
        for subject in sorted(actual.loaded - desired.loaded, reverse=True)
    ]
    return orders
