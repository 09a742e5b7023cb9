"""Generations: placed, relayed event by event, and carried on elsewhere."""

import enum
from collections.abc import AsyncGenerator
from contextlib import aclosing

import anyio

from rhubarbwinch import events
from rhubarbwinch.exceptions import EndpointError
from rhubarbwinch.gateway import moving, placing, statistics
from rhubarbwinch.gateway.carrying import Carrier
from rhubarbwinch.gateway.context import Context, Job
from rhubarbwinch.gateway.edge import EdgeResponder
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.plaincalls import (
    PROMISES,
    WholeAnswer,
    answer_failure,
    relay_whole,
)
from rhubarbwinch.gateway.routes import EngineSpec
from rhubarbwinch.gateway.runs import NewHome, Room, Run
from rhubarbwinch.gateway.suspicion import Outcome
from rhubarbwinch.gateway.upstream import Answer
from rhubarbwinch.gateway.waiting import WAIT_SHARE, Waiter, WaitQueue
from rhubarbwinch.gateway.wire import MemoryCopy, SendOptions
from rhubarbwinch.sse import Splitter
from rhubarbwinch.verdict import Failure, Reason, Verdict, not_run

# A generation that another engine can take over is given up at its engine
# after this silence; events come every 30 ms, and the caller's bound on a
# pause is over by then anyway.
STALL_MS = 1_000
# A copy that is on its way when the stream breaks is worth this wait.
COPY_WAIT_MS = 600
# Sends of one generation that were refused as not run.
MAX_REFUSED_SENDS = 4
MIN_SEND_MS = 50
RETRY_AFTER_MS = 300
# When the wait is over, memory may be overcommitted while slots are free: an
# engine queues for itself, and a refusal serves nobody.
LAST_MEMORY_SHARE = 1.25
_OK = 200


class EventPlace(enum.Enum):
    """Where an event stands in its stream."""

    NEXT = enum.auto()
    REPEATED = enum.auto()
    AFTER_GAP = enum.auto()


class StreamCalls:
    """Serves generations.

    Args:
        context: What all requests share.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._carrier = Carrier(context)
        self._queues: dict[str, WaitQueue] = {}
        self._runs: set[Run] = set()

    async def serve(self, job: Job, responder: EdgeResponder) -> None:
        """Serves one generation."""
        failed: list[Exception] = []
        async with anyio.create_task_group() as tasks:
            run = Run(job, responder, tasks)
            self._runs.add(run)
            try:
                await self._serve(run)
            except Exception as error:
                # The task group would wrap it.
                failed.append(error)
            finally:
                self._runs.discard(run)
                run.release()
                self.note_change()
                tasks.cancel_scope.cancel()
        if failed:
            raise failed[0]

    def note_change(self) -> None:
        """Lets waiting requests look for room, and tells peers of loads."""
        for queue in self._queues.values():
            queue.wake()
        self._context.peers.tell_loads()

    def note_leaving(self, endpoint: Endpoint) -> None:
        """Copies the runs of an engine that leaves."""
        for run in list(self._runs):
            if run.room is None:
                continue
            if run.room.endpoint.id == endpoint.id:
                self._start_copying(run)
            elif run.backup and run.backup.endpoint.id == endpoint.id:
                self._lose_backup(run)

    def _start_copying(self, run: Run) -> None:
        spec = self._engine_spec(run.job.service)
        if spec is None or not spec.can_move or run.copying is not None:
            return
        if run.job.route.is_resumable or self._has_backup(run):
            # It may begin anew elsewhere, or there is a copy already.
            return
        run.copying = anyio.CancelScope()
        run.has_copy = anyio.Event()
        run.tasks.start_soon(self._keep_copy, run, run.copying)

    def _lose_backup(self, run: Run) -> None:
        """Gives up a backup whose engine leaves."""
        assert run.room is not None
        if run.backup is not None:
            run.backup.release()
            run.backup = None
        known = self._context.fleet.get(run.room.endpoint.id)
        if known is not None and known.is_leaving:
            self._start_copying(run)

    def _has_backup(self, run: Run) -> bool:
        """Tells whether an engine that stays follows a run."""
        if run.backup is None:
            return False
        known = self._context.fleet.get(run.backup.endpoint.id)
        return known is not None and known.takes_work

    async def _keep_copy(self, run: Run, scope: anyio.CancelScope) -> None:
        with scope:
            await self._carrier.keep_copy(run)

    def _engine_spec(self, service: str) -> EngineSpec | None:
        table = self._context.table
        spec = table.services.get(service) if table is not None else None
        return spec.engine if spec is not None else None

    async def _serve(self, run: Run) -> None:
        failure = await self._start(run)
        if failure is None:
            return
        if run.head_sent:
            # The caller sees that the stream is not complete.
            events.STREAM_BROKEN.log(
                request=run.id,
                events=run.events,
                detail=failure.detail,
                took_ms=self._context.clock.now() - run.job.received_ms,
            )
            statistics.REQUESTS.labels(run.job.route.name, "broken").inc()
            return
        await answer_failure(self._context, run.job, run.responder, failure)

    async def _start(self, run: Run) -> Failure | None:
        """Places a generation until one engine has run it, or none can."""
        job = run.job
        failure: Failure | None = None
        for _ in range(MAX_REFUSED_SENDS):
            if failure is not None and not self._may_send_again(run):
                return failure
            refusal = await self._place(run)
            if refusal is not None:
                return failure or refusal
            assert run.room is not None
            result = await self._open(run, run.room.endpoint, None)
            if isinstance(result, Answer):
                return await self._relay_all(run, result)
            run.release()
            if result is None:
                return None
            failure = result
            job.tried.add(run.room.endpoint.id)
            if failure.verdict is not Verdict.NOT_RUN and not (
                job.route.may_repeat and job.sends < job.route.max_attempts
            ):
                return failure
        return failure

    def _may_send_again(self, run: Run) -> bool:
        allowed = self._context.may_send_again(run.job.service)
        if not allowed:
            events.RETRY_REFUSED.log(request=run.id, service=run.job.service)
        return allowed

    async def _place(self, run: Run) -> Failure | None:
        """Holds room at an engine, now or after a wait."""
        context, job = self._context, run.job
        now = context.clock.now()
        left = job.deadline_ms - now
        if left < MIN_SEND_MS:
            return not_run(Reason.DEADLINE, "no time is left")
        queue = self._queues.setdefault(job.service, WaitQueue(context.clock))
        if queue.is_first(job.priority, job.objective_ms) and self._hold(run):
            return None
        limit_ms = int((job.objective_ms - now) * WAIT_SHARE)
        if limit_ms <= 0:
            limit_ms = left // 4
        if queue.is_hopeless(job.priority, job.objective_ms, limit_ms):
            return self._refuse(run, queue, "too many wait before it")
        waiter = queue.join(job.priority, job.objective_ms)
        try:
            with anyio.move_on_after(limit_ms / 1000):
                await self._wait_turn(run, waiter)
                queue.note_admission()
                return None
        finally:
            queue.leave(waiter)
        if self._hold(run, LAST_MEMORY_SHARE):
            return None
        return self._refuse(run, queue, f"no room in {limit_ms} ms")

    async def _wait_turn(self, run: Run, waiter: Waiter) -> None:
        while True:
            await waiter.turn.wait()
            waiter.turn = anyio.Event()
            if self._hold(run):
                return

    def _refuse(self, run: Run, queue: WaitQueue, detail: str) -> Failure:
        job = run.job
        retry = queue.retry_after_ms(job.priority, job.objective_ms)
        events.NO_ROOM.log(
            request=run.id, waiting=len(queue), retry_after_ms=retry
        )
        return not_run(Reason.QUEUE_FULL, detail, retry)

    def _hold(
        self, run: Run, memory_share: float = placing.MEMORY_SHARE
    ) -> bool:
        """Holds room at an engine."""
        context, job = self._context, run.job
        tokens = run.expected_tokens
        candidates = context.candidates(job.service, job.tried)
        chosen = placing.choose_engine(
            candidates, tokens, context.data_center, context.rng, memory_share
        )
        if chosen is None:
            return False
        run.room = Room(
            chosen.endpoint, tokens, job.call.prompt_tokens, 1, context.loads
        ).hold()
        events.PLACED.log(
            request=run.id,
            endpoint=chosen.endpoint.id,
            runs=chosen.load.runs,
            tokens=chosen.load.tokens,
            needed=tokens,
            engines=len(candidates),
        )
        self._hold_backup(run)
        context.peers.tell_loads()
        return True

    def _hold_backup(self, run: Run) -> None:
        """Holds room at a second engine that follows the run, if it fits."""
        context, job = self._context, run.job
        spec = self._engine_spec(job.service)
        if run.room is None or spec is None or not spec.can_back_up:
            return
        if job.route.is_resumable:
            # It is short, and may begin anew elsewhere.
            return
        tokens = run.expected_tokens
        chosen = moving.choose_backup(
            context.candidates(job.service, {run.room.endpoint.id}),
            run.room.endpoint,
            tokens,
            context.rng,
        )
        if chosen is not None:
            run.backup = Room(
                chosen.endpoint, tokens, 0, 0, context.loads
            ).hold()

    async def _open(
        self, run: Run, endpoint: Endpoint, copy: MemoryCopy | None
    ) -> Answer | Failure | None:
        """Sends a generation; returns the answer whose events are to come.

        None means that the engine's answer was final and was passed on.
        """
        context, job = self._context, run.job
        now = context.clock.now()
        left = job.deadline_ms - now
        if left < MIN_SEND_MS:
            return Failure(
                Verdict.MAY_HAVE_RUN, Reason.DEADLINE, "no time left"
            )
        job.sends += 1
        last = run.last_event_id or job.call.last_event_id
        options = SendOptions(
            endpoint.id,
            job.account,
            left,
            last_event_id=last,
            resume_from=copy,
            backup_address=run.backup.endpoint.address if run.backup else None,
        )
        try:
            with anyio.move_on_after(left / 1000):
                answer = await context.upstream.send(
                    endpoint, job.call, job.body, options, False
                )
                return await self._judge(run, endpoint, answer, now)
        except EndpointError as error:
            outcome = Outcome.BROKEN if error.sent else Outcome.UNREACHABLE
            context.note(job, job.service, endpoint.id, outcome)
            self._log_send(run, endpoint, now, str(error))
            if error.sent:
                context.note_break(job, endpoint.id, endpoint.address)
                return Failure(
                    Verdict.MAY_HAVE_RUN, Reason.ENDPOINT_FAILED, str(error)
                )
            return not_run(Reason.NO_ENDPOINT, str(error), RETRY_AFTER_MS)
        self._log_send(run, endpoint, now, "no answer by the deadline")
        return Failure(
            Verdict.MAY_HAVE_RUN, Reason.DEADLINE, "the engine gave no answer"
        )

    async def _judge(
        self, run: Run, endpoint: Endpoint, answer: Answer, started: int
    ) -> Answer | Failure | None:
        """Sorts an answer by its head.

        Raises:
            EndpointError: It is not an answer of the engine.
        """
        context, job, head = self._context, run.job, answer.head
        self._log_send(run, endpoint, started, str(head.status))
        if head.status == _OK and head.is_signed:
            return answer
        try:
            body = await answer.read()
        finally:
            await answer.close()
        if head.is_refusal:
            context.note(job, job.service, endpoint.id, Outcome.REFUSED)
            return not_run(
                Reason.QUEUE_FULL, "the engine refused", RETRY_AFTER_MS
            )
        context.note(job, job.service, endpoint.id, Outcome.ERROR)
        if not head.is_signed or head.status in PROMISES:
            raise EndpointError(f"status {head.status}", sent=True)
        if run.head_sent or job.route.may_repeat:
            return Failure(
                Verdict.MAY_HAVE_RUN,
                Reason.ENDPOINT_FAILED,
                f"status {head.status}",
            )
        await relay_whole(context, job, run.responder, WholeAnswer(head, body))
        return None

    async def _relay_all(self, run: Run, answer: Answer) -> Failure | None:
        """Relays a generation to its end, over as many engines as it takes."""
        while True:
            assert run.room is not None
            source = run.room.endpoint
            with anyio.move_on_after(self._left_ms(run) / 1000):
                if await self._relay(run, answer):
                    self._context.note(
                        run.job, run.job.service, source.id, Outcome.GOOD
                    )
                    self._context.crashes.clear(run.job.fingerprint)
                    return None
            if self._left_ms(run) <= 0:
                return Failure(
                    Verdict.MAY_HAVE_RUN, Reason.DEADLINE, "out of time"
                )
            self._context.note_break(run.job, source.id, source.address)
            following = await self._go_on(run, source)
            if following is None:
                return Failure(
                    Verdict.MAY_HAVE_RUN,
                    Reason.STREAM_BROKEN,
                    f"the stream broke at {source.id}",
                )
            answer = following

    def _left_ms(self, run: Run) -> int:
        return run.job.deadline_ms - self._context.clock.now()

    async def _relay(self, run: Run, answer: Answer) -> bool:
        """Relays the events of one engine; returns whether the end came."""
        splitter = Splitter()
        try:
            async with aclosing(self._paced(run, answer)) as parts:
                async for data in parts:
                    await self._pass_on(run, answer, splitter, data)
        except EndpointError as error:
            events.STREAM_CUT.log(
                request=run.id,
                endpoint=run.room.endpoint.id if run.room else "",
                events=run.events,
                copied=run.home is not None,
                error=str(error),
            )
            return False
        finally:
            await answer.close()
        if splitter.rest:
            return False
        await self._finish(run, answer)
        return True

    async def _paced(self, run: Run, answer: Answer) -> AsyncGenerator[bytes]:
        """Yields parts of a stream.

        Raises:
            EndpointError: The stream was cut, or is silent for too long
                while another engine could go on.
        """
        parts = answer.chunks()
        async with aclosing(parts):
            while True:
                can_leave = run.events > 0 and (
                    run.home is not None or self._has_backup(run)
                )
                limit = STALL_MS / 1000 if can_leave else None
                data = b""
                with anyio.move_on_after(limit) as scope:
                    try:
                        data = await anext(parts)
                    except StopAsyncIteration:
                        return
                if scope.cancelled_caught:
                    raise EndpointError("silent", sent=True)
                yield data

    async def _pass_on(
        self, run: Run, answer: Answer, splitter: Splitter, data: bytes
    ) -> None:
        """Sends whole events to the caller, each once.

        Raises:
            EndpointError: An event is out of order.
        """
        fresh: list[bytes] = []
        missing = ""
        for event in splitter.feed(data):
            found = self._context.platform.event_id(event.raw)
            place = self._place_of(run, found)
            if place is EventPlace.REPEATED:
                continue
            if place is EventPlace.AFTER_GAP:
                missing = f"event {found} after {run.last_event_id}"
                break
            run.last_event_id = found or run.last_event_id
            run.events += 1
            fresh.append(event.raw)
        # What came in order before a gap has to go out: the run goes on after
        # the last event that counts as the caller's.
        if fresh:
            self._note_events(run)
            if not run.head_sent:
                await self._send_head(run, answer)
            await run.responder.write(b"".join(fresh))
        if missing:
            raise EndpointError(missing, sent=True)

    def _place_of(self, run: Run, event_id: str | None) -> EventPlace:
        """Tells whether an event is the next one."""
        last = run.last_event_id or run.job.call.last_event_id
        if event_id is None or last is None:
            return EventPlace.NEXT
        if not (event_id.isdigit() and last.isdigit()):
            return EventPlace.NEXT
        step = int(event_id) - int(last)
        if step > 1:
            return EventPlace.AFTER_GAP
        return EventPlace.NEXT if step == 1 else EventPlace.REPEATED

    def _note_events(self, run: Run) -> None:
        now = self._context.clock.now()
        job = run.job
        if run.events and run.last_event_ms and job.route.gap_ms:
            pause = now - run.last_event_ms
            if pause > job.route.gap_ms:
                statistics.GAPS.labels(job.route.name).inc()
                events.LATE_GAP.log(
                    request=run.id,
                    endpoint=run.room.endpoint.id if run.room else "",
                    pause_ms=pause,
                    events=run.events,
                )
        if not run.last_event_ms:
            statistics.LATENCY.labels(job.route.name).observe(
                (now - job.received_ms) / 1000
            )
        run.last_event_ms = now
        if run.room is not None and run.room.prefill:
            run.room.end_prefill()
            self.note_change()
            known = self._context.fleet.get(run.room.endpoint.id)
            if known is not None and known.is_leaving:
                self._start_copying(run)

    async def _send_head(self, run: Run, answer: Answer) -> None:
        run.head_sent = True
        await run.responder.start_stream(
            answer.head.status, answer.head.headers
        )

    async def _finish(self, run: Run, answer: Answer) -> None:
        if not run.head_sent:
            await self._send_head(run, answer)
        await run.responder.end_stream()
        now = self._context.clock.now()
        events.ANSWERED.log(
            request=run.id,
            route=run.job.route.name,
            status=_OK,
            took_ms=now - run.job.received_ms,
            sends=run.job.sends,
            events=run.events,
        )
        statistics.REQUESTS.labels(run.job.route.name, "complete").inc()

    async def _go_on(self, run: Run, source: Endpoint) -> Answer | None:
        """Starts a generation where its memory lies, or anew if it may."""
        self._context.note(
            run.job, run.job.service, source.id, self._blame(source)
        )
        if run.copying is not None:
            with anyio.move_on_after(COPY_WAIT_MS / 1000):
                await run.has_copy.wait()
        if run.home is not None:
            return await self._go_home(run, run.home, "move")
        if self._has_backup(run):
            return await self._go_home(run, self._backup_home(run), "backup")
        if run.job.route.is_resumable:
            return await self._begin_anew(run, source)
        return None

    def _blame(self, source: Endpoint) -> Outcome:
        """Returns what a broken stream says of its engine."""
        known = self._context.fleet.get(source.id)
        if known is None or known.is_leaving:
            return Outcome.GOOD
        return Outcome.BROKEN

    def _backup_home(self, run: Run) -> NewHome:
        """Returns the engine that has followed a run as its new home."""
        assert run.backup is not None
        assert run.room is not None
        backup = run.backup
        room = Room(backup.endpoint, backup.tokens, 0, 1, self._context.loads)
        copy = MemoryCopy(backup.endpoint.address, run.id)
        return NewHome(room.hold(), copy, run.room.endpoint)

    async def _go_home(
        self, run: Run, home: NewHome, how: str
    ) -> Answer | None:
        """Goes on at the engine that has the copy, or at its source."""
        await self._carrier.stop(run, home.source, home.room.endpoint)
        self._settle(run, home.room)
        answer = await self._resume(run, home.room.endpoint, home.copy, how)
        if answer is None and how == "move":
            # An engine that stopped a run can begin it again itself.
            answer = await self._resume(run, home.source, home.copy, "return")
        if answer is not None:
            self._note_settled(run)
        return answer

    async def _begin_anew(self, run: Run, source: Endpoint) -> Answer | None:
        """Starts a resumable generation after the last event elsewhere."""
        job = run.job
        if job.sends >= job.route.max_attempts:
            return None
        job.tried.add(source.id)
        if not self._may_send_again(run):
            return None
        run.release()
        if await self._place(run) is not None or run.room is None:
            return None
        result = await self._open(run, run.room.endpoint, None)
        return result if isinstance(result, Answer) else None

    def _settle(self, run: Run, room: Room) -> None:
        """Gives the old room back, and protects the run at its new engine."""
        run.release()
        run.room = room
        if run.copying is not None:
            run.copying.cancel()
            run.copying = None
        self._hold_backup(run)
        self.note_change()

    def _note_settled(self, run: Run) -> None:
        """Moves a run on at once if its new engine has begun to leave."""
        assert run.room is not None
        known = self._context.fleet.get(run.room.endpoint.id)
        if known is not None and known.is_leaving:
            self._start_copying(run)

    async def _resume(
        self, run: Run, endpoint: Endpoint, copy: MemoryCopy, how: str
    ) -> Answer | None:
        """Sends a generation to where its memory lies."""
        if not self._may_send_again(run):
            return None
        result = await self._open(run, endpoint, copy)
        is_good = isinstance(result, Answer)
        statistics.MOVES.labels(how, "good" if is_good else "failed").inc()
        events.CARRIED_ON.log(
            request=run.id,
            endpoint=endpoint.id,
            how=how,
            good=is_good,
            after=run.last_event_id,
            pause_ms=self._context.clock.now() - run.last_event_ms,
        )
        return result if isinstance(result, Answer) else None

    def _log_send(
        self, run: Run, endpoint: Endpoint, started: int, outcome: str
    ) -> None:
        now = self._context.clock.now()
        events.SENT.log(
            request=run.id,
            endpoint=endpoint.id,
            send=run.job.sends,
            took_ms=now - started,
            left_ms=run.job.deadline_ms - now,
            outcome=outcome,
        )
