"""Guards that decide whether a generation request may run at an engine."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Protocol

import anyio
from result import Err

from rhubarbwinch.admission.permits import Permit, PermitClient
from rhubarbwinch.claims.claimkeys import ClaimKey
from rhubarbwinch.claims.claimpages import Outcome
from rhubarbwinch.claims.claims import Claim, Claims, make_outcome
from rhubarbwinch.claims.quarantine import Quarantine, Suspect
from rhubarbwinch.endpoints.endpointclient import EndpointClient
from rhubarbwinch.http.httpapi import Refused
from rhubarbwinch.links.messages import StreamEnd
from rhubarbwinch.shared import identifiers
from rhubarbwinch.shared.exceptions import (
    EndpointError,
    GenerationLostError,
    StoreError,
)
from rhubarbwinch.shared.verdict import Failure, Reason, Verdict, not_run

RETRY_AFTER_MS = 1_000
QUARANTINE_LOAD_TIMEOUT_MS = 1_000
MAX_PROBES = 3


class RunGuard(Protocol):
    """Guards the runs of one request."""

    def run(self, permit: Permit) -> AbstractAsyncContextManager[None]:
        """Returns a context manager that encloses a run.

        Raises:
            Refused: The run must not start, or must not be retried.
            EndpointError: The run can't start at this endpoint.
        """
        ...


class NoGuard:
    """Allows every run."""

    @asynccontextmanager
    async def run(self, permit: Permit) -> AsyncIterator[None]:
        """Returns a context manager that does nothing."""
        yield


class QuarantineGuard:
    """Keeps a request that crashes endpoints from crashing more than two.

    Args:
        quarantine: Knows the requests that are suspected to crash endpoints.
        endpoints: Probes whether an endpoint is dead.
        permits: Releases permits.
        fingerprint: The request's fingerprint.
        repeatable: Whether the request may run more than once.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        endpoints: EndpointClient,
        permits: PermitClient,
        fingerprint: str,
        repeatable: bool,
    ) -> None:
        self._quarantine = quarantine
        self._endpoints = endpoints
        self._permits = permits
        self._fingerprint = fingerprint
        self._repeatable = repeatable
        self._sent = False

    async def check(self) -> None:
        """Checks that the request is not in quarantine.

        Raises:
            Refused: The request is in quarantine, or it is a suspect that is
                not repeatable.
        """
        await self._quarantine.wait_loaded(QUARANTINE_LOAD_TIMEOUT_MS)
        suspect = self._quarantine.get(self._fingerprint)
        if suspect is None:
            return
        if suspect.is_quarantined:
            raise Refused(
                self._failure("endpoints died under it; it is not run again")
            )
        if not self._repeatable:
            raise Refused(
                self._failure("an endpoint died under it; it can't be repeated")
            )

    @asynccontextmanager
    async def run(self, permit: Permit) -> AsyncIterator[None]:
        """Encloses a run; a suspect is the only suspect at its endpoint.

        An endpoint that dies during the run counts as a strike against the
        request.
        """
        run = identifiers.generation_id(
            permit.grant.request_id, permit.grant.endpoint
        )
        try:
            suspect = await self._begin_run(permit, run)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await self._permits.release_permit(permit, StreamEnd.UNUSED)
            raise
        has_struck = False
        try:
            yield
            await self._quarantine.remove_suspect(self._fingerprint)
        except Refused:
            raise
        except Exception as error:
            # The death of an endpoint may also cause an exception of the
            # transport that is not an EndpointError.
            sent = not isinstance(error, EndpointError) or error.sent
            self._sent = self._sent or sent
            has_struck = sent and await self._is_dead(permit, error)
            if has_struck:
                await self._quarantine.record_strike(self._fingerprint, run)
            raise
        except anyio.get_cancelled_exc_class():
            # A caller that disconnects early cancels the run. The endpoint is
            # probed nevertheless, because the request may have killed it.
            with anyio.CancelScope(shield=True):
                has_struck = await self._is_dead(permit)
                if has_struck:
                    await self._quarantine.record_strike(self._fingerprint, run)
            raise
        finally:
            if suspect is not None:
                with anyio.CancelScope(shield=True):
                    await self._end_trial(permit, run, has_struck)

    async def _begin_run(self, permit: Permit, run_id: str) -> Suspect | None:
        """Returns the suspect whose trial begins; None if it is no suspect."""
        await self.check()
        suspect = self._quarantine.get(self._fingerprint)
        if suspect is None:
            return None
        endpoint = permit.grant.endpoint
        try:
            if not await self._quarantine.wait_for_lock(endpoint, run_id):
                raise EndpointError(
                    f"{endpoint} runs another suspect", sent=False
                )
            has_begun = False
            try:
                has_begun = await self._quarantine.wait_for_trial(
                    self._fingerprint, run_id
                )
            finally:
                if not has_begun:
                    await self._quarantine.release_lock(endpoint, run_id)
        except StoreError as error:
            detail = f"a suspect can't run now: {error}"
            raise Refused(self._failure(detail, RETRY_AFTER_MS)) from error
        if not has_begun:
            detail = "an endpoint died under it; one run at a time"
            raise Refused(self._failure(detail, RETRY_AFTER_MS))
        return suspect

    async def _end_trial(
        self, permit: Permit, run_id: str, has_struck: bool
    ) -> None:
        await self._quarantine.release_lock(permit.grant.endpoint, run_id)
        if not has_struck:
            await self._quarantine.end_trial(self._fingerprint, run_id)

    async def _is_dead(
        self, permit: Permit, error: Exception | None = None
    ) -> bool:
        """Returns whether the endpoint died, rather than the connection."""
        if isinstance(error, GenerationLostError):
            return True
        url = f"http://{permit.grant.address}/load"
        for _ in range(MAX_PROBES):
            try:
                await self._endpoints.read_json(url)
                return False
            except EndpointError as probe_error:
                if not probe_error.sent:
                    return True
                # A pooled connection to a dead process also fails after the
                # request was sent; the next probe opens a new connection.
        return True

    def _failure(
        self, detail: str, retry_after_ms: int | None = None
    ) -> Failure:
        verdict = Verdict.MAY_HAVE_RUN if self._sent else Verdict.NOT_RUN
        return Failure(verdict, Reason.QUARANTINED, detail, retry_after_ms)


class ClaimGuard:
    """Runs a generation request at most once.

    Args:
        claims: Claims the key.
        permits: Releases permits.
        key: The key to claim.
        inner: A guard that also encloses each run.
    """

    def __init__(
        self,
        claims: Claims,
        permits: PermitClient,
        key: ClaimKey,
        inner: RunGuard,
    ) -> None:
        self._claims = claims
        self._permits = permits
        self._key = key
        self._inner = inner
        self._claim: Claim | None = None

    async def find_outcome(self) -> Outcome | None:
        """Returns the recorded outcome, or None if the request may run.

        Raises:
            Refused: The request may not run.
        """
        recorded = await self._claims.find_outcome(self._key)
        if isinstance(recorded, Err):
            raise Refused(recorded.err_value)
        return recorded.ok_value

    @asynccontextmanager
    async def run(self, permit: Permit) -> AsyncIterator[None]:
        """Encloses a run: claims the key before it and records its outcome."""
        async with self._inner.run(permit):
            claim = await self._begin_run(permit)
            is_unsent = False
            is_done = False
            try:
                yield
                is_done = True
            except EndpointError as error:
                is_unsent = not error.sent
                if error.sent:
                    # The request may have run, so it must not be retried at
                    # another endpoint.
                    raise Refused(_may_have_run(error)) from error
                raise
            finally:
                with anyio.CancelScope(shield=True):
                    await self._finish(claim, permit, is_done, is_unsent)

    async def release(self) -> None:
        """Releases an unsent claim; call it when the request has ended."""
        if self._claim is not None and not self._claim.sent:
            with anyio.CancelScope(shield=True):
                await self._claims.release(self._claim)

    async def _begin_run(self, permit: Permit) -> Claim:
        failure = None
        try:
            if self._claim is None:
                claimed = await self._claims.acquire_claim(self._key)
                if isinstance(claimed, Err):
                    failure = claimed.err_value
                else:
                    self._claim = claimed.ok_value
            if failure is None and self._claim is not None:
                if self._claims.begin_send(self._claim, permit.grant.endpoint):
                    return self._claim
                detail = "the claim was held for too long before the send"
                failure = not_run(Reason.DEADLINE, detail, RETRY_AFTER_MS)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await self._permits.release_permit(permit, StreamEnd.UNUSED)
            raise
        await self._permits.release_permit(permit, StreamEnd.UNUSED)
        if failure is None:
            raise AssertionError("neither a claim nor a failure")
        raise Refused(failure)

    async def _finish(
        self, claim: Claim, permit: Permit, is_done: bool, is_unsent: bool
    ) -> None:
        if is_unsent:
            claim.mark_unsent()
        elif is_done:
            generation = identifiers.generation_id(
                permit.grant.request_id, permit.grant.endpoint
            )
            body = b'{"generation":"' + generation.encode() + b'"}'
            outcome = make_outcome(200, "application/json", body)
            await self._claims.record_outcome(claim, outcome)
        else:
            await self._claims.record_unknown(claim)


def _may_have_run(error: EndpointError) -> Failure:
    return Failure(Verdict.MAY_HAVE_RUN, Reason.STREAM_BROKEN, str(error))
