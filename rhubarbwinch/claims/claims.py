"""At most once: a key is claimed in the store before anything is sent.

The claim in the store is the only permission to send. Nobody else is given it
while the claim's owner might still use it: not when a lease lapses, not when
the owner is silent. docs/design/claims.md weighs this against leases.
"""

import enum
import hashlib
import random

import attrs
from result import Err, Ok, Result

from rhubarbwinch.claims import claimkeys
from rhubarbwinch.claims.claimchanges import Finish, Take
from rhubarbwinch.claims.claimfloor import ClaimFloor
from rhubarbwinch.claims.claimkeys import CLOCK_SKEW_MS, ClaimKey
from rhubarbwinch.claims.claimowners import Owners, Standing
from rhubarbwinch.claims.claimpages import ClaimRecord, ClaimState, Outcome
from rhubarbwinch.claims.claimrouting import Pages
from rhubarbwinch.links.messages import ClaimAnswer, ClaimQuestion
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import StoreError
from rhubarbwinch.shared.verdict import Failure, Reason, Verdict, not_run

WAIT_MS = 3_000
FIRST_POLL_MS = 100
MAX_POLL_MS = 1_000
RETRY_AFTER_MS = 1_000
RECORD_RETRY_MS = 1_000
# A process that was paused for longer gives its claim up instead of sending.
MAX_HOLD_MS = 5_000
MAX_KEPT_BODY_BYTES = 1_024
MAX_UNRECORDED_RELEASES = 10_000


class _Stage(enum.Enum):
    """How far the owner itself has come with a claim."""

    HELD = enum.auto()
    SENT = enum.auto()
    ENDED = enum.auto()


@attrs.define
class Claim:
    """A claim that this process holds.

    Attributes:
        key: What is claimed.
        token: Its token in the page.
        endpoint: Where it was sent last.
    """

    key: ClaimKey
    token: str
    endpoint: str = ""
    _stage: _Stage = attrs.field(default=_Stage.HELD, init=False)
    _taken_now: int = attrs.field(default=0, init=False)
    _taken_wall: int = attrs.field(default=0, init=False)

    @property
    def sent(self) -> bool:
        """Whether bytes may have gone out."""
        return self._stage is _Stage.SENT

    def start_hold(self, clock: Clock) -> None:
        """Notes the time before which the claim was certainly not ours."""
        self._taken_now, self._taken_wall = clock.now(), clock.wall()

    def held_ms(self, clock: Clock) -> int:
        """Returns how long it has been held.

        The monotonic clock stands still while a VM is suspended, so the wall
        clock counts as well.
        """
        wall = clock.wall() - self._taken_wall
        return max(clock.now() - self._taken_now, wall)

    def mark_sent(self, endpoint: str) -> None:
        """Notes that bytes may go out from now on."""
        if self._stage is _Stage.ENDED:
            raise AssertionError("a claim that was given up is not sent")
        self._stage = _Stage.SENT
        self.endpoint = endpoint

    def mark_unsent(self) -> None:
        """Notes that a send failed before its first byte."""
        self._stage = _Stage.HELD

    def end(self) -> None:
        """Notes that nothing is sent under this claim any more."""
        self._stage = _Stage.ENDED


class Claims:
    """The claims of this process.

    Args:
        pages: Where claims are kept; its `run` must be running too.
        owners: Asks the owners of other claims.
        floor: The oldest keys that are accepted.
        clock: The source of time.
        rng: Makes tokens.
        member: This member's name.
        incarnation: This process's number.
    """

    def __init__(
        self,
        pages: Pages,
        owners: Owners,
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
        # Every token under which this process may yet send, or has sent
        # without the outcome in the store. It vouches for all others.
        self._held: dict[str, Claim] = {}
        self._unrecorded: dict[str, tuple[str, Finish]] = {}

    async def run(self) -> None:
        """Writes outcomes that the store missed, until cancelled."""
        while True:
            await self._clock.sleep(RECORD_RETRY_MS)
            for page, finish in list(self._unrecorded.values()):
                await self._record(page, finish)

    async def answer(self, question: ClaimQuestion) -> ClaimAnswer:
        """Tells another member whether a claim of ours can still be sent."""
        ours = question.incarnation == self._incarnation
        return ClaimAnswer(ours and question.token not in self._held)

    async def find(self, key: ClaimKey) -> Result[Outcome | None, Failure]:
        """Returns the recorded outcome, or None if the key may be claimed.

        A claim that another request holds is waited for.
        """
        end = self._clock.now() + WAIT_MS
        pause = FIRST_POLL_MS
        while True:
            refusal = await self._check_time(key)
            if refusal is not None:
                return Err(refusal)
            read = await self._pages.read(key.page, key.name)
            if isinstance(read, Err):
                return Err(_store_failure(read.err_value))
            record = read.ok_value
            settled = _settle(key, record)
            if settled is not None:
                return settled
            if record is None:
                raise AssertionError("an absent claim settles")
            standing = await self._ask(record)
            if standing is Standing.UNSENT:
                return Ok(None)
            if self._clock.now() >= end:
                return Err(await self._give_up(key, record, standing))
            await self._clock.sleep(pause)
            pause = min(2 * pause, MAX_POLL_MS)

    async def take(self, key: ClaimKey) -> Result[Claim, Failure]:
        """Claims a key.

        Returns:
            The claim, or the failure; `IN_PROGRESS` if another was first.
        """
        claim = Claim(key, f"{self._rng.getrandbits(128):032x}")
        # The token is held before it is written: an answer to a question
        # about it must never come before the decision not to use it.
        self._held[claim.token] = claim
        failure: Failure | None = _in_progress()
        try:
            claim.start_hold(self._clock)
            failure = await self._claim(claim)
            if failure is None:
                # The page may have been deleted and made anew by this claim
                # if the process was paused for very long before it.
                failure = await self._check_time(key)
        finally:
            # Also on cancellation, when the write may be under way.
            if failure is not None:
                self._abandon(claim)
        return Ok(claim) if failure is None else Err(failure)

    def begin_send(self, claim: Claim, endpoint: str) -> bool:
        """Tells whether a send may start now; nothing is awaited before it.

        False after a pause in which others were told that the outcome is
        unknown. A pause between this check and the first byte can't be seen;
        the claim still holds through it, because nobody takes it over.
        """
        if claim.held_ms(self._clock) > MAX_HOLD_MS:
            events.CLAIM_HELD_TOO_LONG.log(claim=claim.key.name)
            return False
        claim.mark_sent(endpoint)
        return True

    async def complete(self, claim: Claim, outcome: Outcome) -> None:
        """Records the endpoint's answer."""
        await self._finish(claim, ClaimState.COMPLETED, outcome)

    async def lose(self, claim: Claim) -> None:
        """Records that the call was sent and its outcome is unknown."""
        await self._finish(claim, ClaimState.MAY_HAVE_RUN)

    async def release(self, claim: Claim) -> None:
        """Records that nothing was sent and nothing will be."""
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
            if await self._ask(current) is not Standing.UNSENT:
                return _in_progress()
            from_token = current.token

    async def _check_time(self, key: ClaimKey) -> Failure | None:
        age = self._clock.wall() - key.time_ms
        if age < -CLOCK_SKEW_MS:
            return not_run(Reason.BAD_REQUEST, "the key's time is to come")
        if age > key.retention_ms:
            return _expired()
        floor = await self._floor.read()
        if isinstance(floor, Err):
            return _store_failure(floor.err_value)
        too_old = key.time_ms // claimkeys.WINDOW_MS < floor.ok_value
        return _expired() if too_old else None

    async def _ask(self, record: ClaimRecord) -> Standing:
        if record.incarnation != self._incarnation:
            return await self._owners.ask(record)
        held = record.token in self._held
        return Standing.HELD if held else Standing.UNSENT

    async def _give_up(
        self, key: ClaimKey, record: ClaimRecord, standing: Standing
    ) -> Failure:
        """Returns the failure of a request whose wait is over."""
        if standing is not Standing.GONE:
            return _in_progress()
        # The owner's process is gone, and what it did is not known. Should it
        # be there after all, its own token still lets it write the outcome.
        finish = Finish(key.name, record.token, ClaimState.MAY_HAVE_RUN)
        await self._pages.change(key.page, finish)
        return _unknown()

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
            self._held.pop(finish.token, None)
            return
        if finish.state is not ClaimState.RELEASED:
            events.CLAIM_UNRECORDED.log(error=str(written.err_value))
        self._unrecorded[finish.token] = (page, finish)

    def _abandon(self, claim: Claim) -> None:
        """Gives a claim up unsent; its release is written when it can be.

        Until then, or if the claim's own write takes effect even later, this
        process vouches for it and the next request takes it over.
        """
        claim.end()
        self._held.pop(claim.token, None)
        if len(self._unrecorded) < MAX_UNRECORDED_RELEASES:
            finish = Finish(claim.key.name, claim.token, ClaimState.RELEASED)
            self._unrecorded[claim.token] = (claim.key.page, finish)


def make_outcome(status: int, content_type: str, body: bytes) -> Outcome:
    """Returns the outcome to record; a long answer is kept as a digest."""
    kept = len(body) <= MAX_KEPT_BODY_BYTES
    return Outcome(
        status=status,
        content_type=content_type[:100],
        body=body if kept else b"",
        digest=hashlib.sha256(body).hexdigest(),
        kept=kept,
    )


def _settle(
    key: ClaimKey, record: ClaimRecord | None
) -> Result[Outcome | None, Failure] | None:
    """Returns what a claim's record alone decides, or None to wait."""
    if record is None:
        return Ok(None)
    if record.request != key.digest:
        detail = "the key was used for another request"
        return Err(not_run(Reason.KEY_MISMATCH, detail))
    match record.state:
        case ClaimState.RELEASED:
            return Ok(None)
        case ClaimState.MAY_HAVE_RUN:
            return Err(_unknown())
        case ClaimState.COMPLETED:
            return Ok(record.outcome)
        case _:
            return None


def _store_failure(error: StoreError) -> Failure:
    # The verdict is of this request; an earlier one with the key may have run.
    detail = f"nothing was sent; try again with the same key ({error})"
    return not_run(Reason.STORE_UNAVAILABLE, detail, RETRY_AFTER_MS)


def _expired() -> Failure:
    detail = "nothing was sent; the key is older than keys are kept"
    return not_run(Reason.KEY_EXPIRED, detail)


def _in_progress() -> Failure:
    return Failure(
        Verdict.MAY_HAVE_RUN,
        Reason.IN_PROGRESS,
        "another request with this key has no outcome yet",
        RETRY_AFTER_MS,
    )


def _unknown() -> Failure:
    return Failure(
        Verdict.MAY_HAVE_RUN,
        Reason.OUTCOME_UNKNOWN,
        "the call with this key was cut off; it is never sent again",
    )
