"""Reserves engine capacity for runs and queues runs that have to wait."""

import anyio

from rhubarbwinch.gateway import migrationtargets, placement
from rhubarbwinch.gateway.context import Context
from rhubarbwinch.gateway.decisions.accountshares import without_reserve
from rhubarbwinch.gateway.decisions.eligibility import Needs
from rhubarbwinch.gateway.loads import Reservation
from rhubarbwinch.gateway.runs import Run
from rhubarbwinch.gateway.waitqueue import (
    MAX_WAIT_SHARE,
    Rank,
    Waiter,
    WaitQueue,
)
from rhubarbwinch.shared import events
from rhubarbwinch.shared.verdict import Failure, Reason, not_run

# With less time left, a generation cannot produce a useful response.
MIN_ATTEMPT_MS = 50
RETRY_AFTER_MS = 300
# When the wait limit is reached, a KV cache may be overcommitted up to this
# share while slots are free: engines have a queue of their own, and a refusal
# would help no other request.
OVERCOMMIT_KV_CACHE_SHARE = 1.1


class RunPlacer:
    """Reserves capacity at engines for runs and their hot standbys.

    Args:
        context: The objects shared by all requests.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        # Runs that wait for one version or region do not delay the others.
        self._queues: dict[Needs, WaitQueue] = {}

    def handle_capacity_change(self) -> None:
        """Wakes the queued requests and publishes the loads to the peers."""
        for queue in self._queues.values():
            queue.wake_first()
        self._context.peers.announce_loads()

    async def place(self, run: Run) -> Failure | None:
        """Reserves capacity for a run; queues it until there is some.

        Returns:
            None if the capacity is reserved, else why the run is refused.
        """
        context, job = self._context, run.job
        now = context.clock.now()
        left_ms = job.deadline_ms - now
        limit_ms = int((job.objective_ms - now) * MAX_WAIT_SHARE)
        if limit_ms <= 0:
            limit_ms = left_ms // 4
        hopeless = self._find_hopeless(run, left_ms, limit_ms)
        if hopeless is not None:
            return hopeless
        queue = self._queues.setdefault(run.needs, WaitQueue(context.clock))
        self._update_share(run)
        rank = Rank(job.priority, not run.is_within_share, job.objective_ms)
        if queue.is_first(rank) and self._try_reserve(run):
            return None
        if queue.exceeds_wait_limit(rank, limit_ms):
            return self._refuse(run, queue, rank, "too many wait before it")
        waiter = queue.enqueue(rank)
        try:
            with anyio.move_on_after(limit_ms / 1000):
                await self._wait_until_reserved(run, waiter)
                queue.record_admission()
                return None
        finally:
            queue.remove_waiter(waiter)
        if not context.slots.is_brittle(job.service) and self._try_reserve(
            run, OVERCOMMIT_KV_CACHE_SHARE
        ):
            return None
        return self._refuse(run, queue, rank, f"no room in {limit_ms} ms")

    def _find_hopeless(
        self, run: Run, left_ms: int, limit_ms: int
    ) -> Failure | None:
        """Returns why a run can't be placed if it waits for `limit_ms`."""
        context, needs = self._context, run.needs
        if left_ms < MIN_ATTEMPT_MS:
            return not_run(Reason.DEADLINE, "no time is left")
        unserved = context.find_unserved(needs)
        if unserved is not None:
            return unserved
        if run.version is not None and not context.accepting(needs):
            return not_run(
                Reason.NO_ENDPOINT,
                f"no engine of the stream's version {run.version} accepts work",
                RETRY_AFTER_MS,
            )
        delay_ms = context.permit_delay_ms(needs)
        if delay_ms is not None and delay_ms <= limit_ms:
            return None
        detail = "the engines accept no more requests now"
        if delay_ms is None:
            return not_run(Reason.RATE_LIMITED, detail, RETRY_AFTER_MS)
        # Refused callers do not all come back at the same time.
        retry_hint_ms = int(delay_ms * (1 + context.rng.random()))
        return not_run(Reason.RATE_LIMITED, detail, retry_hint_ms)

    async def _wait_until_reserved(self, run: Run, waiter: Waiter) -> None:
        while True:
            await waiter.may_try.wait()
            waiter.may_try = anyio.Event()
            if self._try_reserve(run):
                return

    def _update_share(self, run: Run) -> None:
        """Decides again whether the account of a run is within its share."""
        more_tokens = run.mean_tokens - run.counted_tokens
        run.is_within_share = self._context.is_within_share(
            run.job, more_tokens
        )

    def end_run(self, run: Run) -> None:
        """Ends what is counted for a run, which has released its capacity."""
        job = run.job
        if run.counted_tokens and job.account is not None:
            self._context.accounts.add(
                job.service,
                job.account,
                -run.counted_tokens,
                self._context.clock.now(),
            )
            run.counted_tokens = 0
        self.handle_capacity_change()

    def _count_for_account(self, run: Run, tokens: int) -> None:
        job = run.job
        if not run.counted_tokens and job.account is not None:
            run.counted_tokens = tokens
            self._context.accounts.add(
                job.service, job.account, tokens, self._context.clock.now()
            )

    def _refuse(
        self, run: Run, queue: WaitQueue, rank: Rank, detail: str
    ) -> Failure:
        retry_hint_ms = queue.retry_after_ms(rank)
        events.NO_ROOM.log(
            request=run.id,
            account=run.job.account,
            within_share=run.is_within_share,
            waiting=len(queue),
            retry_after_ms=retry_hint_ms,
        )
        return not_run(Reason.QUEUE_FULL, detail, retry_hint_ms)

    def _try_reserve(
        self, run: Run, kv_cache_share: float = placement.MAX_KV_CACHE_SHARE
    ) -> bool:
        """Reserves capacity now; returns False if no engine has enough."""
        context, job = self._context, run.job
        tokens = run.mean_tokens
        self._update_share(run)
        candidates = context.candidates(run.needs, job.tried)
        if not run.is_within_share:
            candidates = without_reserve(candidates)
        chosen = placement.choose_engine(
            candidates,
            tokens,
            context.data_center,
            context.rng,
            kv_cache_share,
            placement.RELAYED_LOADS
            if context.peers.uses_relays
            else placement.DIRECT_LOADS,
        )
        if chosen is None:
            return False
        context.permits.acquire_now(chosen.endpoint.id)
        run.reservation = Reservation(
            chosen.endpoint, tokens, job.call.prompt_tokens, 1, context.loads
        ).reserve()
        events.PLACED.log(
            request=run.id,
            endpoint=chosen.endpoint.id,
            version=chosen.endpoint.version,
            runs=chosen.load.runs,
            tokens=chosen.load.tokens,
            needed=tokens,
            slowness=round(chosen.slowness, 2),
            engines=len(candidates),
        )
        self._count_for_account(run, tokens)
        self.reserve_standby(run)
        context.peers.announce_loads()
        return True

    def reserve_standby(self, run: Run) -> None:
        """Reserves capacity for a hot standby if another engine has enough."""
        context, job = self._context, run.job
        spec = context.engine_spec(job.service)
        if run.reservation is None or spec is None or not spec.supports_standby:
            return
        if job.route.is_resumable:
            # The run is short and can be restarted at another engine.
            return
        tokens = run.mean_tokens
        chosen = migrationtargets.choose_standby(
            context.candidates(job.needs, {run.reservation.endpoint.id}),
            run.reservation.endpoint,
            tokens,
            context.rng,
        )
        if chosen is not None:
            run.standby = Reservation(
                chosen.endpoint, tokens, 0, 0, context.loads
            ).reserve()
