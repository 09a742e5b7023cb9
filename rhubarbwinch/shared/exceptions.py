"""All exceptions of the package."""


class RhubarbwinchError(Exception):
    """The base of every exception raised by this package."""


class SettingError(RhubarbwinchError):
    """A setting is missing or has a value that is not allowed.

    Args:
        name: The flag's name without dashes, such as `listen`.
        value: The value as it was given.
        allowed: What is allowed, in words.
    """

    def __init__(self, name: str, value: object, allowed: str) -> None:
        super().__init__(f"setting --{name}: {value!r}; allowed: {allowed}")
        self.name = name
        self.value = value
        self.allowed = allowed


class RecordError(RhubarbwinchError):
    """A record failed its checks.

    Args:
        record: The record's key, `kind/name`.
        field: The field's dotted path.
        value: The value that was found.
        allowed: What is allowed, in words.
    """

    def __init__(
        self, record: str, field: str, value: object, allowed: str
    ) -> None:
        super().__init__(
            f"record {record}: field {field}: {value!r}; allowed: {allowed}"
        )
        self.record = record
        self.field = field
        self.value = value
        self.allowed = allowed


class StoreError(RhubarbwinchError):
    """The key-value store did not do what was asked."""


class StoreUnavailable(StoreError):  # noqa: N818
    """The store was not reached: nothing was written."""


class StoreUncertain(StoreError):  # noqa: N818
    """The answer was lost: a write may have taken effect."""


class CodecError(RhubarbwinchError):
    """Bytes from a peer or the store are not a message of a known type."""


class LinkError(RhubarbwinchError):
    """A message was not sent, or its peer did not answer."""


class LinkTimeout(LinkError):  # noqa: N818
    """A peer did not answer in time; it may have acted on the request."""


class VmListError(RhubarbwinchError):
    """The platform's list of VMs can't be read."""


class PeerFailed(LinkTimeout):
    """A peer failed while it handled a call; it may have acted on it."""


class EndpointError(RhubarbwinchError):
    """An endpoint failed a call.

    Args:
        message: What happened.
        sent: Whether any byte of the request may have reached the endpoint.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent

    def follow(self, earlier: "EndpointError | None") -> None:
        """Notes the failure of the try before: what it sent stays sent."""
        self.sent = self.sent or (earlier is not None and earlier.sent)


class ForeignGenerationError(EndpointError):
    """An engine sent an event of another generation.

    Args:
        found: What stood in place of the expected id.
    """

    def __init__(self, found: str) -> None:
        super().__init__(f"an event of {found} came", sent=True)


class GenerationLostError(EndpointError):
    """An engine no longer has a generation, or has given it up.

    Args:
        message: What happened.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=True)


class ConflictError(RhubarbwinchError):
    """Another writer changed the key first.

    Args:
        key: The key that both wrote.
        winner_revision: The store revision of the other write.
    """

    def __init__(self, key: str, winner_revision: int) -> None:
        super().__init__(f"{key} was changed at revision {winner_revision}")
        self.key = key
        self.winner_revision = winner_revision


class EventLoopError(RhubarbwinchError):
    """The event loop uses what is not allowed."""


class RestartLimitError(RhubarbwinchError):
    """A supervised task failed more often than its limit allows."""


class BadCallError(RhubarbwinchError):
    """A caller's request can't be served as it stands."""


class PlatformFormatError(RhubarbwinchError):
    """What the platform or another of its writers wrote can't be read."""


class StoreCompacted(StoreUnavailable):
    """The store no longer has the changes that a watch asked for."""
