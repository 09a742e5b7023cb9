"""Builds test data for the gateway."""

import random

from rhubarbwinch.gateway.edge import EdgeRequest
from rhubarbwinch.gateway.endpoints import Endpoint, EndpointState
from rhubarbwinch.gateway.fleet import Fleet
from rhubarbwinch.gateway.job import make_job
from rhubarbwinch.gateway.loads import Load
from rhubarbwinch.gateway.placement import Candidate
from rhubarbwinch.gateway.platforminterface import CallHead
from rhubarbwinch.gateway.routes import (
    Account,
    CallKind,
    EngineSpec,
    HttpLimits,
    Route,
    RoutingTable,
    ServiceSpec,
    WeightedService,
)
from rhubarbwinch.gateway.runs import Run
from rhubarbwinch.stores.store import Change, KeyValue

ENGINE = EngineSpec(
    slots=24,
    kv_tokens=34_000,
    supports_migration=True,
    supports_standby=True,
)


def route(kind=CallKind.IDEMPOTENT, **fields):
    """Returns a route of the host `h.example`, `/r/` by default."""
    base = {
        "name": "r",
        "host": "h.example",
        "prefix": "/r/",
        "kind": kind,
        "timeout_ms": 5_000,
        "objective_ms": 500,
        "max_event_gap_ms": 180 if kind is CallKind.STREAM else 0,
        "max_attempts": 2 if kind is CallKind.IDEMPOTENT else 1,
        "priority": 1,
        "is_public": False,
        "is_generation": kind is CallKind.STREAM,
        "is_resumable": False,
        "targets": (WeightedService("svc", 1.0),),
    }
    return Route(**(base | fields))


def table(*routes, version=1, keys=("k1",), engine=ENGINE, **fields):
    """Returns a routing table whose keys belong to the account `acme`."""
    by_host = {}
    for item in routes or (route(),):
        by_host.setdefault(item.host, {})[item.prefix] = item
    base = {
        "version": version,
        "routes": by_host,
        "services": {"svc": ServiceSpec("svc", 100, engine)},
        "accounts": {key: Account("acme", None) for key in keys},
        "requires_key": True,
        "limits": HttpLimits(),
    }
    return RoutingTable(**(base | fields))


def endpoint(name="e1", **fields):
    """Returns an endpoint of the service `svc`."""
    base = {
        "id": name,
        "service": "svc",
        "address": f"127.0.0.1:{9000 + int(name[1:])}",
        "data_center": "dc-a",
        "slots": 24,
        "state": EndpointState.READY,
        "warmup_ms": 0,
        "started_ms": 1,
    }
    return Endpoint(**(base | fields))


def fleet(*endpoints):
    """Returns a fleet to which these endpoints have registered."""
    found = Fleet()
    for item in endpoints:
        found.apply_registration(item, 0)
    return found


def candidate(name="e1", runs=0, tokens=0, prefill=0, **fields):
    """Returns a candidate with a KV cache of 34,000 tokens."""
    base = {"capacity_tokens": 34_000}
    return Candidate(
        endpoint(
            name,
            data_center=fields.pop("data_center", "dc-a"),
            version=fields.pop("version", ""),
        ),
        Load(runs, tokens, prefill),
        **(base | fields),
    )


def call(request_id="q1", **fields):
    """Returns the head of a caller's request."""
    base = {
        "method": "POST",
        "target": b"/r/x",
        "host": "h.example",
        "request_id": request_id,
        "api_key": "k1",
        "deadline_ms": 5_000,
        "prompt_tokens": 3_000,
        "max_output_tokens": 2_000,
        "estimated_output_tokens": 900,
        "last_event_id": None,
        "headers": [],
    }
    return CallHead(**(base | fields))


def run_with(prompt_tokens, output_tokens):
    """Returns a run with these predicted lengths."""
    request = EdgeRequest("POST", b"/r/x", [], b"", 0)
    head = call(
        prompt_tokens=prompt_tokens, estimated_output_tokens=output_tokens
    )
    stream = route(CallKind.STREAM)
    job = make_job(request, head, stream, Account("acme", None), 1, "svc")
    return Run(job, None, None)


def write(key, revision, value=b"v"):
    """Returns the change that writes a key."""
    return Change(key, revision, KeyValue(key, value, revision))


def deletion(key, revision):
    """Returns the change that deletes a key."""
    return Change(key, revision, None)


def rng():
    """Returns a random generator with a fixed seed."""
    return random.Random(1)
