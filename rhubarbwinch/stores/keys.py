"""Defines all keys in the platform's store."""

ROOT = "rhubarbwinch/"
RECORDS = ROOT + "records/"
STATUS = ROOT + "status/"
ACCEPTED_HEAD = ROOT + "accepted/head"
CHUNKS = ROOT + "accepted/chunks/"
MEMBERS = ROOT + "members/"
CLAIMS = ROOT + "claims/"
CLAIMS_CURSOR = ROOT + "claims-cursor"
METERS = ROOT + "meters/"
QUARANTINE = ROOT + "quarantine/"
SUSPECTS = QUARANTINE + "suspects/"
ORDERS = ROOT + "orders/"


def record(kind: str, name: str) -> str:
    """Returns the key of an operator's record."""
    return f"{RECORDS}{kind}/{name}"


def status(kind: str, name: str) -> str:
    """Returns the key of a record's status."""
    return f"{STATUS}{kind}/{name}"


def chunk(digest: str) -> str:
    """Returns the key of a chunk of the accepted configuration."""
    return CHUNKS + digest


def order_holder(pool: str) -> str:
    """Returns the key of the holder of a pool's orders; it is under a lease."""
    return f"{ORDERS}holder/{pool}"


def order_fence(pool: str) -> str:
    """Returns the key of a pool's fence record."""
    return f"{ORDERS}fence/{pool}"


def member(name: str) -> str:
    """Returns the key of a member's registration."""
    return MEMBERS + name


def claims_page(window: int, slot: int) -> str:
    """Returns the key of the page of claims of a time window and slot."""
    return f"{claims_window(window)}/{slot}"


def claims_window(window: int) -> str:
    """Returns the prefix of a window's pages; prefixes sort by time."""
    return f"{CLAIMS}{window:012d}"


def meter(period: int, entry: str, incarnation: int) -> str:
    """Returns the key of an entry's counters of a period."""
    return f"{meter_period(period)}{entry}/{incarnation:x}"


def meter_period(period: int) -> str:
    """Returns the prefix of a period's counters."""
    return f"{METERS}{period:08d}/"


def suspect(fingerprint: str) -> str:
    """Returns the key of a fingerprint's strikes."""
    return SUSPECTS + fingerprint


def trial(endpoint: str) -> str:
    """Returns the key that is locked while a suspect runs on an endpoint."""
    return f"{QUARANTINE}trials/{endpoint}"
