"""The version of the package and of the protocol between its processes."""

VERSION = "0.1.0"

# Raised whenever a message between processes changes its meaning. A peer that
# speaks another number is refused and counted.
PROTOCOL_VERSION = 1
