"""Runs calls at most once by claiming their key in the store before sending.

Only the owner of the claim in the store may send the call. The claim is given
to no other member while its owner might still send, even if the owner's lease
has expired or it doesn't reply. docs/design/claims.md compares this with
leases.
"""

import enum
import hashlib
import random

import attrs
from result import Err, Ok, Result

from rhubarbwinch.claims import claimkeys
from rhubarbwinch.claims.claimchanges import Finish, Take
from rhubarbwinch.claims.claimkeys import CLOCK_SKEW_MS, ClaimKey
from rhubarbwinch.claims.claimowners import ClaimOwners, OwnerStatus
from rhubarbwinch.claims.claimpages import ClaimRecord, ClaimState, Outcome
from rhubarbwinch.claims.claimretention import ClaimFloor
from rhubarbwinch.claims.claimrouting import PageAccess
from rhubarbwinch.links.messages import ClaimAnswer, ClaimQuestion
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import StoreError
from rhubarbwinch.shared.verdict import Failure, Reason, Verdict, not_run

FIND_TIMEOUT_MS = 3_000
FIRST_POLL_MS = 100
MAX_POLL_MS = 1_000
RETRY_AFTER_MS = 1_000
RECORD_RETRY_MS = 1_000
# A process that was paused for longer than this does not send under its claim.
MAX_HOLD_MS = 5_000
MAX_KEPT_BODY_BYTES = 1_024
MAX_UNRECORDED_RELEASES = 10_000


class _Stage(enum.Enum):
    """The state of a claim within its owner's process."""

    HELD = enum.auto()
    SENT = enum.auto()
    ENDED = enum.auto()


@attrs.define
class Claim:
    """A claim that this process holds.

    Attributes:
        key: The claimed idempotency key.
        token: The claim's token in its page.
        endpoint: The endpoint that the call was last sent to.
    """

    key: ClaimKey
    token: str
    endpoint: str = ""
    _stage: _Stage = attrs.field(default=_Stage.HELD, init=False)
    _held_since_ms: int = attrs.field(default=0, init=False)
    _held_since_wall_ms: int = attrs.field(default=0, init=False)

    @property
    def sent(self) -> bool:
        """Whether bytes of the call may have been sent."""
        return self._stage is _Stage.SENT

    def start_hold(self, clock: Clock) -> None:
        """Records the time, which is before the claim is written."""
        self._held_since_ms, self._held_since_wall_ms = (
            clock.now(),
            clock.wall(),
        )

    def held_ms(self, clock: Clock) -> int:
        """Returns how long the claim has been held, in ms.

        The monotonic clock stops while a VM is suspended, so the longer of
        the times by the monotonic and the wall clock is used.
        """
        wall = clock.wall() - self._held_since_wall_ms
        return max(clock.now() - self._held_since_ms, wall)

    def mark_sent(self, endpoint: str) -> None:
        """Records that bytes of the call may be sent from now on."""
        if self._stage is _Stage.ENDED:
            raise AssertionError("cannot send under an abandoned claim")
        self._stage = _Stage.SENT
        self.endpoint = endpoint

    def mark_unsent(self) -> None:
        """Records that an attempt failed before its first byte was sent."""
        self._stage = _Stage.HELD

    def mark_ended(self) -> None:
        """Records that nothing will be sent under this claim."""
        self._stage = _Stage.ENDED


class Claims:
    """Makes, finds and finishes the claims of this process.

    Args:
        pages: Reads and changes the claims in the store; its `run` must be
            running too.
        owners: Asks the owners of other claims for their status.
        floor: Returns the oldest key window that is accepted.
        clock: The source of time.
        rng: Generates tokens.
        member: This member's name.
        incarnation: This process's incarnation.
    """

    def __init__(
        self,
        pages: PageAccess,
        owners: ClaimOwners,
        floor: ClaimFloor,
        clock: Clock,
        rng: random.Random,
        member: str,
        incarnation: int,
    ) -> None:
        self._pages = pages
        self._owners = owners
        self._floor = floor
        self._clock = clock
        self._rng = rng
        self._member = member
        self._incarnation = incarnation
        # The claims under which this process may still send, or has sent
        # without recording the outcome in the store. For any other token of
        # this incarnation, `reply` confirms that it is never used to send.
        self._active: dict[str, Claim] = {}
        self._unrecorded: dict[str, tuple[str, Finish]] = {}

    async def run(self) -> None:
        """Retries writes of outcomes that failed, until cancelled."""
        while True:
            await self._clock.sleep(RECORD_RETRY_MS)
            for page, finish in list(self._unrecorded.values()):
                await self._record(page, finish)

    async def reply(self, question: ClaimQuestion) -> ClaimAnswer:
        """Replies whether a claim of this process is unsent and stays so."""
        ours = question.incarnation == self._incarnation
        return ClaimAnswer(ours and question.token not in self._active)

    async def find_outcome(
        self, key: ClaimKey
    ) -> Result[Outcome | None, Failure]:
        """Returns the recorded outcome, or None if the key may be claimed.

        If another request holds a claim on the key, its outcome is awaited
        for at most `FIND_TIMEOUT_MS`.
        """
        deadline_ms = self._clock.now() + FIND_TIMEOUT_MS
        poll_ms = FIRST_POLL_MS
        while True:
            refusal = await self._check_key_age(key)
            if refusal is not None:
                return Err(refusal)
            read = await self._pages.read(key.page, key.name)
            if isinstance(read, Err):
                return Err(_store_failure(read.err_value))
            record = read.ok_value
            settled = _settled_result(key, record)
            if settled is not None:
                return settled
            if record is None:
                raise AssertionError("an absent claim must be settled")
            status = await self._owner_status(record)
            if status is OwnerStatus.UNSENT:
                return Ok(None)
            if self._clock.now() >= deadline_ms:
                return Err(await self._timeout_failure(key, record, status))
            await self._clock.sleep(poll_ms)
            poll_ms = min(2 * poll_ms, MAX_POLL_MS)

    async def acquire_claim(self, key: ClaimKey) -> Result[Claim, Failure]:
        """Claims a key.

        Returns:
            The claim, or the failure; `IN_PROGRESS` if another request
            claimed the key first.
        """
        claim = Claim(key, f"{self._rng.getrandbits(128):032x}")
        # The token is registered before it is written, so that `reply` never
        # confirms it as unused while it may still be used to send.
        self._active[claim.token] = claim
        failure: Failure | None = _in_progress()
        try:
            claim.start_hold(self._clock)
            failure = await self._claim(claim)
            if failure is None:
                # If the process was paused for very long before the write,
                # the page may have been deleted and created again by this
                # claim, so the key's age is checked again.
                failure = await self._check_key_age(key)
        finally:
            # This also runs on cancellation, when the write may be in flight.
            if failure is not None:
                self._abandon(claim)
        return Ok(claim) if failure is None else Err(failure)

    def begin_send(self, claim: Claim, endpoint: str) -> bool:
        """Marks the claim as sent and returns whether the call may be sent.

        The caller must send without awaiting anything in between. The result
        is False after a pause of over `MAX_HOLD_MS`, in which other members
        may have reported the outcome as unknown. A pause between this check
        and the first byte can't be detected. The claim stays valid during
        such a pause because no other member takes it over.
        """
        if claim.held_ms(self._clock) > MAX_HOLD_MS:
            events.CLAIM_HELD_TOO_LONG.log(claim=claim.key.name)
            return False
        claim.mark_sent(endpoint)
        return True

    async def record_outcome(self, claim: Claim, outcome: Outcome) -> None:
        """Records the endpoint's response."""
        await self._finish(claim, ClaimState.COMPLETED, outcome)

    async def record_unknown(self, claim: Claim) -> None:
        """Records that the call was sent and its outcome is unknown."""
        await self._finish(claim, ClaimState.MAY_HAVE_RUN)

    async def release(self, claim: Claim) -> None:
        """Records that nothing was sent under the claim and nothing will be."""
        self._abandon(claim)
        pending = self._unrecorded.get(claim.token)
        if pending is not None:
            await self._record(*pending)

    async def _claim(self, claim: Claim) -> Failure | None:
        key = claim.key
        record = ClaimRecord(
            token=claim.token,
            owner=self._member,
            incarnation=self._incarnation,
            state=ClaimState.CLAIMED,
            request=key.digest,
            at_ms=self._clock.wall(),
        )
        from_token = ""
        while True:
            change = Take(key.name, record, from_token)
            written = await self._pages.change(key.page, change)
            if isinstance(written, Err):
                return _store_failure(written.err_value)
            current = written.ok_value
            if current is None:
                detail = "too many keys with this time"
                return not_run(Reason.RATE_LIMITED, detail, RETRY_AFTER_MS)
            if current.token == claim.token:
                if from_token:
                    events.CLAIM_TAKEN_OVER.log(claim=key.name)
                return None
            if current.state is not ClaimState.CLAIMED:
                return _in_progress()
            if await self._owner_status(current) is not OwnerStatus.UNSENT:
                return _in_progress()
            from_token = current.token

    async def _check_key_age(self, key: ClaimKey) -> Failure | None:
        age = self._clock.wall() - key.time_ms
        if age < -CLOCK_SKEW_MS:
            return not_run(Reason.BAD_REQUEST, "the key's time is to come")
        if age > key.retention_ms:
            return _key_expired()
        floor = await self._floor.read()
        if isinstance(floor, Err):
            return _store_failure(floor.err_value)
        is_below_floor = key.time_ms // claimkeys.WINDOW_MS < floor.ok_value
        return _key_expired() if is_below_floor else None

    async def _owner_status(self, record: ClaimRecord) -> OwnerStatus:
        if record.incarnation != self._incarnation:
            return await self._owners.get_status(record)
        held = record.token in self._active
        return OwnerStatus.MAY_SEND if held else OwnerStatus.UNSENT

    async def _timeout_failure(
        self, key: ClaimKey, record: ClaimRecord, status: OwnerStatus
    ) -> Failure:
        """Returns the failure of a request that waited for too long."""
        if status is not OwnerStatus.NOT_A_MEMBER:
            return _in_progress()
        # The owner's process is not a member, and whether it sent the call is
        # unknown. If it still runs after all, it can record the outcome
        # later, because the claim keeps its token.
        finish = Finish(key.name, record.token, ClaimState.MAY_HAVE_RUN)
        await self._pages.change(key.page, finish)
        return _outcome_unknown()

    async def _finish(
        self,
        claim: Claim,
        state: ClaimState,
        outcome: Outcome | None = None,
    ) -> None:
        finish = Finish(
            claim.key.name, claim.token, state, claim.endpoint, outcome
        )
        await self._record(claim.key.page, finish)

    async def _record(self, page: str, finish: Finish) -> None:
        written = await self._pages.change(page, finish)
        if isinstance(written, Ok):
            self._unrecorded.pop(finish.token, None)
            self._active.pop(finish.token, None)
            return
        if finish.state is not ClaimState.RELEASED:
            events.CLAIM_UNRECORDED.log(error=str(written.err_value))
        self._unrecorded[finish.token] = (page, finish)

    def _abandon(self, claim: Claim) -> None:
        """Abandons an unsent claim and schedules the write of its release.

        Until the release is written, or if the claim's own write takes effect
        only later, this process confirms to others that the claim is unused,
        so the next request takes it over.
        """
        claim.mark_ended()
        self._active.pop(claim.token, None)
        if len(self._unrecorded) < MAX_UNRECORDED_RELEASES:
            finish = Finish(claim.key.name, claim.token, ClaimState.RELEASED)
            self._unrecorded[claim.token] = (claim.key.page, finish)


def make_outcome(status: int, content_type: str, body: bytes) -> Outcome:
    """Returns the outcome to record; of a long body only the digest."""
    kept = len(body) <= MAX_KEPT_BODY_BYTES
    return Outcome(
        status=status,
        content_type=content_type[:100],
        body=body if kept else b"",
        digest=hashlib.sha256(body).hexdigest(),
        kept=kept,
    )


def _settled_result(
    key: ClaimKey, record: ClaimRecord | None
) -> Result[Outcome | None, Failure] | None:
    """Returns the result that the record alone determines, or None to wait."""
    if record is None:
        return Ok(None)
    if record.request != key.digest:
        detail = "the key was used for another request"
        return Err(not_run(Reason.KEY_MISMATCH, detail))
    match record.state:
        case ClaimState.RELEASED:
            return Ok(None)
        case ClaimState.MAY_HAVE_RUN:
            return Err(_outcome_unknown())
        case ClaimState.COMPLETED:
            return Ok(record.outcome)
        case _:
            return None


def _store_failure(error: StoreError) -> Failure:
    # The verdict is about this request only. An earlier request with the same
    # key may have run.
    detail = f"nothing was sent; try again with the same key ({error})"
    return not_run(Reason.STORE_UNAVAILABLE, detail, RETRY_AFTER_MS)


def _key_expired() -> Failure:
    detail = "nothing was sent; the key is older than keys are kept"
    return not_run(Reason.KEY_EXPIRED, detail)


def _in_progress() -> Failure:
    return Failure(
        Verdict.MAY_HAVE_RUN,
        Reason.IN_PROGRESS,
        "another request with this key has no outcome yet",
        RETRY_AFTER_MS,
    )


def _outcome_unknown() -> Failure:
    return Failure(
        Verdict.MAY_HAVE_RUN,
        Reason.OUTCOME_UNKNOWN,
        "the call with this key was cut off; it is never sent again",
    )
