"""Builders of the settings files and configurations that operators write."""

from collections.abc import Iterable, Mapping
from typing import Any

import orjson

CONFIG_KEY = "op/config"
ENDPOINT_PREFIX = "servers/"
EVACUATION_PREFIX = "op/evacuate/"


def settings_text(**fields: object) -> str:
    """Returns the text of a gateway's settings file.

    Args:
        fields: The settings that differ from the defaults below. Dots in names
            are written as two underscores: `limits__max_fds`.
    """
    base: dict[str, object] = {
        "node": "front-1",
        "zone": "z1",
        "limits__memory_mb": 205,
        "limits__max_fds": 6150,
        "bounds__grace_s": 8,
        "bounds__ttl_max_s": 5,
        "bounds__retry_budget_ratio": 0.2,
        "bounds__budget_window_s": 10,
        "bounds__budget_extra": 56,
    }
    rows = (base | fields).items()
    return "".join(f"{k.replace('__', '.')}={v}\n" for k, v in rows)


def region_fields(zone: str, regions: Mapping[str, str]) -> dict[str, object]:
    """Returns the settings of a gateway's data centre and of all regions.

    Args:
        zone: The data centre of the gateway.
        regions: The regions by data centre.
    """
    fields: dict[str, object] = {"zone": zone, "region": regions[zone]}
    return fields | {f"zones__{z}": region for z, region in regions.items()}


def route(name: str, service: str, kind: str, **fields: object) -> Any:
    """Returns a route of the host `h.example` under `/NAME/`."""
    base = {
        "name": name,
        "host": "h.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 5_000,
        "target_latency_ms": 500,
        "max_attempts": 2 if kind == "idempotent" else 1,
    }
    return base | fields


def config(
    version: int,
    routes: Iterable[Any],
    services: Iterable[Any],
    keys: Mapping[str, Iterable[str]],
    account_regions: Mapping[str, list[str]] | None = None,
) -> bytes:
    """Returns a configuration.

    Args:
        version: The version of the configuration.
        routes: The routes.
        services: The services.
        keys: The API keys by client account.
        account_regions: The home regions by client account; an account
            without any has no such field.
    """
    accounts: list[dict[str, object]] = []
    for name, api_keys in keys.items():
        account: dict[str, object] = {"name": name, "api_keys": list(api_keys)}
        if account_regions and name in account_regions:
            account["allowed_regions"] = account_regions[name]
        accounts.append(account)
    return orjson.dumps(
        {
            "version": version,
            "routes": list(routes),
            "services": list(services),
            "tenants": accounts,
        }
    )
