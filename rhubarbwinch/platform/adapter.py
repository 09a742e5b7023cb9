"""The platform's adapter as the gateway sees it."""

from urllib.parse import parse_qs

import orjson

from rhubarbwinch.gateway.wire import PLATFORMS
from rhubarbwinch.platform import documents, headers


@PLATFORMS.register("kielichowa")
class KielichowaPlatform:
    """Names and formats of the platform, gathered in one object."""

    config_key = "op/config"
    endpoint_prefix = "servers/"
    # Keys of our own; the platform keeps `op/` and `servers/` to itself.
    member_prefix = "rhubarbwinch/members/"

    decode_call = staticmethod(headers.decode_call)
    endpoint_headers = staticmethod(headers.endpoint_headers)
    decode_answer = staticmethod(headers.decode_answer)
    is_answer_to = staticmethod(headers.is_answer_to)
    refusal_headers = staticmethod(headers.refusal_headers)
    event_id = staticmethod(headers.event_id)
    decode_config = staticmethod(documents.decode_config)
    decode_endpoint = staticmethod(documents.decode_endpoint)

    @staticmethod
    def directory_name(target: bytes) -> str | None:
        """Returns the host that a caller looks up; None for other calls."""
        path, _, query = target.decode("latin-1").partition("?")
        if path != "/resolve":
            return None
        return parse_qs(query).get("name", [""])[0]

    @staticmethod
    def directory_answer(addresses: list[str], ttl_ms: int) -> bytes:
        """Returns the body of an answer to a lookup."""
        return orjson.dumps({"addresses": addresses, "ttl_s": ttl_ms / 1000})

    @staticmethod
    def is_readiness(target: bytes) -> bool:
        """Tells whether a request asks if the process is ready."""
        return target.partition(b"?")[0] == b"/readiness"
