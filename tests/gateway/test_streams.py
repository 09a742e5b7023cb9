"""Tests generations at engines that leave, crash, refuse or break off."""

import unittest

import anyio
import attrs

from lab.standins.platformengine import (
    engine_headers,
    send_not_run,
    stream_event,
)
from rhubarbwinch.gateway.decisions.drains import make_drain
from rhubarbwinch.gateway.routes import CallKind
from rhubarbwinch.shared.clock import SystemClock
from tests import gatewaybuilders as build
from tests.gatewayharness import read_response, running_gateway
from tests.helpers import asynchronous

NO_STANDBY = attrs.evolve(build.ENGINE, supports_standby=False)
NOT_REPEATABLE = build.table(
    build.route(CallKind.STREAM, timeout_ms=20_000), engine=NO_STANDBY
)
WITH_STANDBY = build.table(build.route(CallKind.STREAM, timeout_ms=20_000))
RESUMABLE = build.table(
    build.route(
        CallKind.STREAM, timeout_ms=20_000, is_resumable=True, max_attempts=2
    )
)
SILENCE_S = 1.5
ALL = b"".join(stream_event(i) for i in range(1, 7))


class Generation:
    """Generates six events; a test sets where the stream stops or breaks."""

    def __init__(self):
        self.break_after = None
        self.tail = b""
        self.reached = anyio.Event()
        self.proceed = anyio.Event()
        self.proceed.set()

    async def run(self, received_request, responder):
        """Responds to a request as an engine."""
        start = int(received_request.headers.get("last-event-id", 0))
        await responder.start_stream(200, engine_headers(received_request))
        for number in range(start + 1, 7):
            await responder.write(stream_event(number))
            if number == self.break_after:
                self.break_after = None
                await responder.write(self.tail) if self.tail else None
                self.reached.set()
                await self.proceed.wait()
                return
        await responder.end_stream()


async def _break_off(received_request, responder):
    """Closes the connection without a response."""


async def _start(gateway, *args, **more):
    reader, writer = await gateway.open(*args, **more)
    return reader, writer


class RecordingClock(SystemClock):
    """A clock that records a value at each sleep."""

    def __init__(self):
        self.on_sleep = None
        self.seen = []

    async def sleep(self, ms):
        """Records the value and sleeps."""
        if self.on_sleep is not None:
            self.seen.append(self.on_sleep())
        await super().sleep(ms)


class StreamCallsTest(unittest.TestCase):
    """One caller, some engines."""

    @asynchronous
    async def test_a_stream_that_ends_with_its_connection_is_taken_whole(self):
        # Without a length nothing tells an engine that crashed before its first
        # event from one that is done, but that a stream has an event.
        head = b"HTTP/1.1 200 OK\r\nServer-Signature: sig\r\n\r\n"
        for body, is_whole in (
            (b"", False),
            (stream_event(1)[:-3], False),
            (stream_event(1), True),
        ):
            async with running_gateway(table=NOT_REPEATABLE) as gateway:

                async def send(received_request, responder, body=body):
                    connection = responder._connection
                    await connection.write(head + body)
                    responder.is_complete = True
                    connection._transport.close()

                for engine in gateway.engines:
                    engine.handler = send
                found = await gateway.call()
            with self.subTest(body=body):
                self.assertEqual(
                    found.status == 200 and found.is_complete, is_whole
                )

    @asynchronous
    async def test_a_sound_engine_that_is_silent_for_a_second_keeps_its_run(
        self,
    ):
        async with running_gateway(table=WITH_STANDBY) as gateway:

            async def pause(received_request, responder):
                await responder.start_stream(
                    200, engine_headers(received_request)
                )
                await responder.write(stream_event(1))
                await anyio.sleep(SILENCE_S)
                for number in range(2, 7):
                    await responder.write(stream_event(number))
                await responder.end_stream()

            for engine in gateway.engines:
                engine.handler = pause
            found = await gateway.call()
        self.assertEqual(found.body, ALL)
        self.assertEqual(len(gateway.received), 1)

    @asynchronous
    async def test_a_stream_that_may_have_run_is_refused_as_not_run(self):
        async with running_gateway(table=RESUMABLE) as gateway:
            handlers = [_break_off, send_not_run]

            async def serve(received_request, responder):
                await handlers.pop(0)(received_request, responder)

            for engine in gateway.engines:
                engine.handler = serve
            found = await gateway.call()
        self.assertEqual(handlers, [])
        self.assertEqual(found.status, 502)
        self.assertNotIn("retry-after", found.headers)

    def _script(self, gateway, generation):
        for engine in gateway.engines:
            engine.handler = generation.run

    @asynchronous
    async def test_a_stream_is_relayed_completely(self):
        async with running_gateway(table=NOT_REPEATABLE) as gateway:
            self._script(gateway, Generation())
            found = await gateway.call()
        self.assertEqual(found.body, ALL)
        self.assertTrue(found.is_complete)
        self.assertEqual(gateway.context.loads.own_loads(), [])

    @asynchronous
    async def test_a_run_resumes_from_its_copy_when_its_engine_ends(self):
        async with running_gateway(table=NOT_REPEATABLE) as gateway:
            generation = Generation()
            generation.break_after = 3
            generation.proceed = anyio.Event()
            self._script(gateway, generation)
            reader, writer = await _start(gateway)
            await generation.reached.wait()
            source = next(e for e in gateway.engines if e.received)
            other = next(e for e in gateway.engines if e is not source)
            gateway.announce_leaving(source)
            while not source.migration_requests:
                await anyio.sleep(0)
            self.assertEqual(source.migration_requests[0]["to"], other.address)
            # The first copy is complete before the source engine ends.
            while not next(iter(gateway.streams._runs)).target:
                await anyio.sleep(0)
            generation.proceed.set()
            found = await read_response(reader)
            writer.close()
        self.assertEqual(found.body, ALL)
        self.assertTrue(found.is_complete)
        # A copy that is used is not freed.
        self.assertEqual(source.freed_handles + other.freed_handles, [])
        resumed = other.received[0].headers
        self.assertEqual(resumed["kv-from"], f"{source.address}/h-q1")
        self.assertEqual(resumed["last-event-id"], "3")

    @asynchronous
    async def test_a_copy_of_a_run_that_ends_before_its_engine_is_freed(self):
        async with running_gateway(table=NOT_REPEATABLE) as gateway:
            generation = Generation()
            generation.proceed = anyio.Event()

            async def finish(received_request, responder):
                await responder.start_stream(
                    200, engine_headers(received_request)
                )
                for number in range(1, 4):
                    await responder.write(stream_event(number))
                generation.reached.set()
                await generation.proceed.wait()
                for number in range(4, 7):
                    await responder.write(stream_event(number))
                await responder.end_stream()

            for engine in gateway.engines:
                engine.handler = finish
            reader, writer = await _start(gateway)
            await generation.reached.wait()
            source = next(e for e in gateway.engines if e.received)
            gateway.announce_leaving(source)
            while not next(iter(gateway.streams._runs)).target:
                await anyio.sleep(0)
            generation.proceed.set()
            found = await read_response(reader)
            writer.close()
            while gateway.context.loads.own_loads():
                await anyio.sleep(0)
        self.assertEqual(found.body, ALL)
        self.assertEqual(source.freed_handles, ["h-q1"])

    @asynchronous
    async def test_a_copy_stays_usable_when_its_refresh_fails(self):
        async with running_gateway(table=NOT_REPEATABLE) as gateway:
            generation = Generation()
            generation.break_after = 3
            generation.proceed = anyio.Event()
            self._script(gateway, generation)
            reader, writer = await _start(gateway)
            await generation.reached.wait()
            source = next(e for e in gateway.engines if e.received)
            gateway.announce_leaving(source)
            while not next(iter(gateway.streams._runs)).target:
                await anyio.sleep(0)
            # The engine is about to end: from here on all its calls fail.
            source.migration_status = 500
            copies = len(source.migration_requests)
            while len(source.migration_requests) < copies + 2:
                await anyio.sleep(0.01)
            generation.proceed.set()
            found = await read_response(reader)
            writer.close()
        self.assertEqual(found.body, ALL)
        self.assertTrue(found.is_complete)

    @asynchronous
    async def test_an_engine_without_room_does_not_delay_the_next_copy(self):
        # The link of a leaving engine serves copies in the order of the calls.
        async with running_gateway(engines=3, table=NOT_REPEATABLE) as gateway:
            clock = gateway.context.clock = RecordingClock()
            generation = Generation()
            generation.break_after = 3
            generation.proceed = anyio.Event()
            self._script(gateway, generation)
            reader, writer = await _start(gateway)
            await generation.reached.wait()
            source = next(e for e in gateway.engines if e.received)
            source.migration_status = 503
            clock.on_sleep = lambda: len(source.migration_requests)
            gateway.announce_leaving(source)
            while not clock.seen:
                await anyio.sleep(0)
            generation.proceed.set()
            await read_response(reader)
            writer.close()
        self.assertEqual(clock.seen[0], 2)

    @asynchronous
    async def test_a_run_without_a_copy_is_never_run_again(self):
        async with running_gateway(table=NOT_REPEATABLE) as gateway:
            generation = Generation()
            generation.break_after = 3
            self._script(gateway, generation)
            found = await gateway.call()
            self.assertEqual(len(gateway.received), 1)
        self.assertEqual(
            found.body, b"".join(stream_event(i) for i in (1, 2, 3))
        )
        self.assertFalse(found.is_complete)

    @asynchronous
    async def test_a_stalled_engine_that_sends_a_byte_now_and_then_is_left(
        self,
    ):
        # Bytes that complete no event used to extend the time without end.
        async with running_gateway(table=WITH_STANDBY) as gateway:

            async def trickle(received_request, responder):
                headers = engine_headers(received_request)
                await responder.start_stream(200, headers)
                if "last-event-id" in received_request.headers:
                    for number in range(2, 7):
                        await responder.write(stream_event(number))
                    await responder.end_stream()
                    return
                await responder.write(stream_event(1))
                while True:
                    await anyio.sleep(0.2)
                    await responder.write(b":")

            for engine in gateway.engines:
                engine.handler = trickle
            with anyio.fail_after(10):
                found = await gateway.call()
        self.assertEqual(found.body, ALL)
        self.assertEqual(len(gateway.received), 2)

    @asynchronous
    async def test_a_run_with_a_standby_resumes_at_the_standby(self):
        async with running_gateway(table=WITH_STANDBY) as gateway:
            generation = Generation()
            generation.break_after = 3
            self._script(gateway, generation)
            found = await gateway.call()
            first = next(
                e
                for e in gateway.engines
                if "kv-backup" in e.received[0].headers
            )
            other = next(e for e in gateway.engines if e is not first)
        self.assertEqual(found.body, ALL)
        self.assertTrue(found.is_complete)
        resumed = other.received[0].headers
        self.assertEqual(resumed["kv-from"], f"{other.address}/q1")
        self.assertEqual(resumed["last-event-id"], "3")
        # The first engine may be alive, so the migration request stops its run.
        self.assertTrue(first.migration_requests[0]["last"])

    @asynchronous
    async def test_a_run_resumes_only_when_its_engine_has_stopped_it(self):
        # The engine refuses to stop a run while it copies it. The refusal was
        # taken as a stop, and two engines executed the run.
        async with running_gateway(table=WITH_STANDBY) as gateway:
            for engine in gateway.engines:
                engine.migration_status = 409
            generation = Generation()
            generation.break_after = 3
            self._script(gateway, generation)
            reader, writer = await _start(gateway)
            with anyio.fail_after(5):
                while (
                    sum(len(e.migration_requests) for e in gateway.engines) < 3
                ):
                    await anyio.sleep(0.01)
            first = next(e for e in gateway.engines if e.migration_requests)
            self.assertEqual(len(gateway.received), 1)
            first.migration_status = 200
            found = await read_response(reader)
            writer.close()
        self.assertEqual(found.body, ALL)
        self.assertEqual(len(gateway.received), 2)

    @asynchronous
    async def test_a_run_that_broke_before_its_first_event_is_not_refused(
        self,
    ):
        async def cut(received_request, responder):
            """Closes the connection without a response."""

        async with running_gateway(table=NOT_REPEATABLE) as gateway:
            for engine in gateway.engines:
                engine.handler = cut
            found = await gateway.call()
            self.assertEqual(found.status, 502)
            self.assertEqual(len(gateway.received), 1)

    @asynchronous
    async def test_a_refused_run_is_placed_elsewhere(self):
        async with running_gateway(table=NOT_REPEATABLE) as gateway:
            generation = Generation()
            seen = []

            async def refuse_first(received_request, responder):
                seen.append(1)
                if len(seen) == 1:
                    await send_not_run(received_request, responder)
                else:
                    await generation.run(received_request, responder)

            for engine in gateway.engines:
                engine.handler = refuse_first
            found = await gateway.call()
        self.assertEqual(found.body, ALL)
        self.assertEqual(sorted(gateway.received), ["e1", "e2"])

    @asynchronous
    async def test_a_run_that_is_placed_again_releases_its_old_standby(self):
        async with running_gateway(engines=3, table=WITH_STANDBY) as gateway:
            generation = Generation()
            held = []

            async def refuse_first(received_request, responder):
                loads = [
                    gateway.context.loads.total(e.name) for e in gateway.engines
                ]
                held.append(sorted(load.tokens for load in loads))
                if len(held) == 1:
                    await send_not_run(received_request, responder)
                else:
                    await generation.run(received_request, responder)

            for engine in gateway.engines:
                engine.handler = refuse_first
            found = await gateway.call()
        self.assertEqual(found.body, ALL)
        # The run is counted at one engine, its standby at another, and nothing
        # at the third.
        self.assertEqual(held[0][0], 0)
        self.assertEqual(held[1], held[0])

    @asynchronous
    async def test_a_resumable_run_restarts_after_its_last_event(self):
        async with running_gateway(table=RESUMABLE) as gateway:
            generation = Generation()
            generation.break_after = 2
            self._script(gateway, generation)
            found = await gateway.call()
            self.assertEqual(found.body, ALL)
            self.assertTrue(found.is_complete)
            self.assertEqual(sorted(gateway.received), ["e1", "e2"])

    @asynchronous
    async def test_attempts_of_a_resumable_run_are_limited_by_the_route(self):
        async def break_always(received_request, responder):
            start = int(received_request.headers.get("last-event-id", 0))
            await responder.start_stream(200, engine_headers(received_request))
            await responder.write(stream_event(start + 1))

        async with running_gateway(engines=4, table=RESUMABLE) as gateway:
            for engine in gateway.engines:
                engine.handler = break_always
            found = await gateway.call()
            self.assertEqual(len(gateway.received), 2)
        self.assertFalse(found.is_complete)
        self.assertEqual(found.body, stream_event(1) + stream_event(2))

    @asynchronous
    async def test_a_partial_event_is_not_relayed(self):
        async with running_gateway(table=RESUMABLE) as gateway:
            generation = Generation()
            generation.break_after = 2
            generation.tail = b"id: 3\ndata: pie"
            self._script(gateway, generation)
            found = await gateway.call()
        self.assertEqual(found.body, ALL)

    @asynchronous
    async def test_duplicate_events_are_dropped(self):
        async def repeat(received_request, responder):
            await responder.start_stream(200, engine_headers(received_request))
            for number in (1, 2, 2, 1, 3):
                await responder.write(stream_event(number))
            await responder.end_stream()

        async with running_gateway(engines=1, table=NOT_REPEATABLE) as gateway:
            gateway.engines[0].handler = repeat
            found = await gateway.call()
        self.assertEqual(
            found.body, stream_event(1) + stream_event(2) + stream_event(3)
        )

    @asynchronous
    async def test_a_stream_with_a_missing_event_does_not_look_complete(self):
        async def skip(received_request, responder):
            await responder.start_stream(200, engine_headers(received_request))
            for number in (1, 3):
                await responder.write(stream_event(number))
            await responder.end_stream()

        async with running_gateway(engines=1, table=NOT_REPEATABLE) as gateway:
            gateway.engines[0].handler = skip
            found = await gateway.call()
        self.assertFalse(found.is_complete)
        self.assertEqual(found.body, stream_event(1))

    @asynchronous
    async def test_without_an_engine_a_run_is_refused_as_not_run(self):
        table = build.table(
            build.route(CallKind.STREAM, objective_ms=50, timeout_ms=500)
        )
        async with running_gateway(engines=0, table=table) as gateway:
            found = await gateway.call()
        self.assertEqual(found.status, 503)
        self.assertIn("retry-after", found.headers)

    @asynchronous
    async def test_a_run_is_cancelled_when_its_caller_disconnects(self):
        async with running_gateway(engines=1, table=NOT_REPEATABLE) as gateway:
            generation = Generation()
            generation.break_after = 2
            generation.proceed = anyio.Event()
            self._script(gateway, generation)
            _, writer = await _start(gateway)
            await generation.reached.wait()
            writer.close()
            while not gateway.engines[0].disconnects:
                await anyio.sleep(0)
            self.assertEqual(gateway.context.loads.own_loads(), [])

    @asynchronous
    async def test_a_draining_gateway_refuses_generations(self):
        async with running_gateway(table=NOT_REPEATABLE) as gateway:
            now = gateway.context.clock.now()
            gateway.context.drain = make_drain(now, 8_000)
            found = await gateway.call()
            self.assertEqual((found.status, gateway.received), (503, []))
