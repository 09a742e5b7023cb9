"""The keys in the platform's store, all in one place."""

ROOT = "rhubarbwinch/"
RECORDS = ROOT + "records/"
STATUS = ROOT + "status/"
ACCEPTED_HEAD = ROOT + "accepted/head"
CHUNKS = ROOT + "accepted/chunks/"
MEMBERS = ROOT + "members/"
CLAIMS = ROOT + "claims/"
METERS = ROOT + "meters/"
QUARANTINE = ROOT + "quarantine/"
ORDERS = ROOT + "orders/"


def record(kind: str, name: str) -> str:
    """Returns the key of an operator's record."""
    return f"{RECORDS}{kind}/{name}"


def status(kind: str, name: str) -> str:
    """Returns the key of the status beside a record."""
    return f"{STATUS}{kind}/{name}"


def chunk(digest: str) -> str:
    """Returns the key of a chunk of the accepted configuration."""
    return CHUNKS + digest


def order_holder(pool: str) -> str:
    """Returns the key, under a lease, of the holder of a pool's orders."""
    return f"{ORDERS}holder/{pool}"


def order_fence(pool: str) -> str:
    """Returns the key of a pool's fence record."""
    return f"{ORDERS}fence/{pool}"


def member(name: str) -> str:
    """Returns the key of a member's registration."""
    return MEMBERS + name
