"""Serves generation requests under quarantine and at-most-once guards."""

from rhubarbwinch.admission.permits import PermitClient
from rhubarbwinch.callers.calls import GenerationCall
from rhubarbwinch.callers.generate import GenerationRunner
from rhubarbwinch.callers.runguard import ClaimGuard, QuarantineGuard
from rhubarbwinch.claims.claims import Claims
from rhubarbwinch.claims.idempotency import send_recorded_outcome
from rhubarbwinch.claims.quarantine import Quarantine
from rhubarbwinch.endpoints.endpointclient import EndpointClient
from rhubarbwinch.http.httpapi import Responder
from rhubarbwinch.records.acceptedconfig import ConfigSnapshot


class GuardedGenerationRunner:
    """Runs the generation requests that quarantine and claims allow.

    Args:
        runner: Runs the requests.
        quarantine: Knows the requests that are suspected to crash endpoints.
        claims: Keeps requests that are not repeatable from running twice.
        permits: Requests permits from brokers.
        endpoints: Calls engines.
    """

    def __init__(
        self,
        runner: GenerationRunner,
        quarantine: Quarantine,
        claims: Claims,
        permits: PermitClient,
        endpoints: EndpointClient,
    ) -> None:
        self._runner = runner
        self._quarantine = quarantine
        self._claims = claims
        self._permits = permits
        self._endpoints = endpoints

    async def serve(
        self,
        call: GenerationCall,
        snapshot: ConfigSnapshot,
        responder: Responder,
    ) -> None:
        """Serves a call, from its recorded outcome if there is one.

        Raises:
            Refused: The call failed, with its verdict.
        """
        guard = QuarantineGuard(
            self._quarantine,
            self._endpoints,
            self._permits,
            call.fingerprint,
            repeatable=call.claim_key is None,
        )
        if call.claim_key is None:
            await guard.check()
            await self._runner.serve(call, snapshot, responder, guard)
            return
        claim_guard = ClaimGuard(
            self._claims, self._permits, call.claim_key, guard
        )
        outcome = await claim_guard.find_outcome()
        if outcome is not None:
            await send_recorded_outcome(outcome, responder)
            return
        await guard.check()
        try:
            await self._runner.serve(call, snapshot, responder, claim_guard)
        finally:
            await claim_guard.release()
