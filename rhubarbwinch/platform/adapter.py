"""The platform adapter: implements the gateway's `Platform` interface."""

from urllib.parse import parse_qs

import orjson

from rhubarbwinch.gateway.directory import DirectoryLookup
from rhubarbwinch.gateway.platforminterface import PLATFORMS
from rhubarbwinch.platform import documents, headers


@PLATFORMS.register("kielichowa")
class KielichowaPlatform:
    """The names and formats of the platform."""

    config_key = "op/config"
    endpoint_prefix = "servers/"
    # Each key names a zone whose endpoints get no requests while it exists.
    evacuation_prefix = "op/evacuate/"
    # The prefix of the gateway's own keys; the platform reserves `op/` and
    # `servers/` for itself.
    member_prefix = "rhubarbwinch/members/"
    version_prefix = "rhubarbwinch/versions/"
    max_directory_addresses = 64

    decode_call = staticmethod(headers.decode_call)
    endpoint_headers = staticmethod(headers.endpoint_headers)
    forwarded_headers = staticmethod(headers.forwarded_headers)
    retry_after_ms = staticmethod(headers.retry_after_ms)
    decode_response = staticmethod(headers.decode_response)
    is_response_to = staticmethod(headers.is_response_to)
    failure_headers = staticmethod(headers.failure_headers)
    event_id = staticmethod(headers.event_id)
    decode_config = staticmethod(documents.decode_config)
    decode_endpoint = staticmethod(documents.decode_endpoint)

    @staticmethod
    def decode_directory_lookup(target: bytes) -> DirectoryLookup | None:
        """Returns a directory lookup; None for other requests."""
        path, _, query = target.decode("latin-1").partition("?")
        if path != "/resolve":
            return None
        fields = parse_qs(query)
        return DirectoryLookup(
            fields.get("name", [""])[0],
            fields.get("zone", [""])[0],
            fields.get("region", [""])[0],
        )

    @staticmethod
    def encode_directory_response(addresses: list[str], ttl_ms: int) -> bytes:
        """Returns the body of the response to a lookup."""
        return orjson.dumps({"addresses": addresses, "ttl_s": ttl_ms / 1000})

    @staticmethod
    def is_readiness_probe(target: bytes) -> bool:
        """Returns whether a request is a readiness probe."""
        return target.partition(b"?")[0] == b"/readiness"
