"""Parses network addresses of the form `a.b.c.d:port`."""

import re

_ADDRESS = re.compile(r"^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$")
_MAX_PORT = 65_535


def parse_address(address: str) -> tuple[str, int]:
    """Returns the host and port of an `a.b.c.d:port` address.

    Raises:
        ValueError: The text is not an IP number and a port.
    """
    match = _ADDRESS.match(address)
    if not match or int(match[2]) > _MAX_PORT:
        raise ValueError(f"{address!r} is not an IP number and a port")
    if any(int(part) > 255 for part in match[1].split(".")):
        raise ValueError(f"{address!r} is not an IP number and a port")
    return match[1], int(match[2])
