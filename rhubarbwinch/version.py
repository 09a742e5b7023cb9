"""The version of the package and of the protocol between its processes."""

VERSION = "0.1.0"

# Incremented whenever the meaning of a message between processes changes. A
# message with another version is refused and logged.
PROTOCOL_VERSION = 1
