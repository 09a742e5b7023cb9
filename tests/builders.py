"""Builds records, requests and events for tests."""

import orjson

from rhubarbwinch.links.messages import PermitRequest
from rhubarbwinch.records.acceptedconfig import make_snapshot
from rhubarbwinch.records.apikeys import hash_key
from rhubarbwinch.records.records import Record

SALT = "00ff"
API_KEY = "acme.secret"


def account(name="acme", services=("chat", "booking"), **spec):
    """Returns the record of an account whose API key is `<name>.secret`."""
    digest = hash_key(f"{name}.secret", SALT)
    fields = {
        "keys": [{"salt": SALT, "digest": digest}],
        "services": list(services),
    }
    return Record("account", name, 2, fields | spec)


def model(name="vintner", **spec):
    """Returns the record of a model."""
    return Record("model", name, 2, spec)


def endpoint(name, address="127.0.0.1:1"):
    """Returns the spec of an endpoint."""
    return {"name": name, "address": address}


def pool(target, endpoints, data_center="dc-a", **spec):
    """Returns the record of a pool; its name is `<target>.<data centre>`."""
    fields = {
        "target": target,
        "data_center": data_center,
        "endpoints": list(endpoints),
    }
    return Record("pool", f"{target}.{data_center}", 2, fields | spec)


def generate_service(name="chat", target="vintner", **spec):
    """Returns the record of a service for LLM generations."""
    fields = {"kind": "generate", "target": target}
    return Record("service", name, 2, fields | spec)


def plain_service(name="booking", target="bookings", **spec):
    """Returns the record of a service whose calls are passed through."""
    fields = {"kind": "plain", "target": target}
    return Record("service", name, 2, fields | spec)


def permit_request(request_id="r1", **fields):
    """Returns a permit request; `fields` replace the defaults."""
    base = {
        "request_id": request_id,
        "entry": "entry-1",
        "pool": "vintner.dc-a",
        "account": "acme",
        "service": "chat",
        "wait_ms": 1000,
    }
    return PermitRequest(**(base | fields))


def token_event(generation, index, last=False):
    """Returns the server-sent event of one token as an engine sends it."""
    finish = "stop" if last else None
    choice = {"index": 0, "text": f"t{index} ", "finish_reason": finish}
    data = orjson.dumps({"choices": [choice]})
    return b"id: %s:%d\ndata: %s\n\n" % (generation.encode(), index, data)


def snapshot(*items, generation=1):
    """Returns a configuration snapshot with the given records."""
    return make_snapshot(generation, items)
