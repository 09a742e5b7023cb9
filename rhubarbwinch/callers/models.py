"""Lists the models that an account may use."""

import orjson

from rhubarbwinch.records.acceptedconfig import ConfigSnapshot

OWNER = "rhubarbwinch"


def model_list(account: str, snapshot: ConfigSnapshot) -> bytes:
    """Returns an account's generation services as OpenAI's model list."""
    models = [
        {"id": name, "object": "model", "created": 0, "owned_by": OWNER}
        for name in sorted(snapshot.accounts[account].services)
        if name in snapshot.services
        and snapshot.services[name].kind == "generate"
    ]
    return orjson.dumps({"object": "list", "data": models})
