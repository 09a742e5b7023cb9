"""Tests streams that callers take up again at one gateway."""

import unittest

import attrs

from lab.standins.platformengine import engine_headers, stream_event
from rhubarbwinch.gateway.clusterview import ClusterView
from rhubarbwinch.gateway.endpoints import EndpointState
from rhubarbwinch.gateway.messages import OriginBatch, StreamOrigin
from rhubarbwinch.gateway.routes import CallKind, ServiceSpec, WeightedService
from rhubarbwinch.http.transport import Transport
from tests import gatewaybuilders as build
from tests.gatewayharness import running_gateway
from tests.helpers import asynchronous

EVENTS = 6


def table(*targets):
    """Returns a table whose route leads to these services."""
    route = build.route(
        CallKind.STREAM,
        timeout_ms=20_000,
        is_resumable=True,
        max_attempts=2,
        targets=tuple(WeightedService(*t) for t in targets or (("svc", 1.0),)),
    )
    found = build.table(route)
    services = {"other": ServiceSpec("other", 100, build.ENGINE)}
    return attrs.evolve(found, services=found.services | services)


async def generate(received_request, responder):
    """Sends the events that the caller lacks."""
    start = int(received_request.headers.get("last-event-id", 0))
    await responder.start_stream(200, engine_headers(received_request))
    for number in range(start + 1, EVENTS + 1):
        await responder.write(stream_event(number))
    await responder.end_stream()


class TakeUpTest(unittest.TestCase):
    """A caller that has the first three events of a stream."""

    def _register(self, gateway, *versions, services=("svc", "svc")):
        for engine, version, service in zip(
            gateway.engines, versions, services, strict=True
        ):
            engine.version, engine.service = version, service
            engine.handler = generate
            gateway.apply_registration(engine)

    async def _take_up(self, gateway, **more):
        fields = {"Last_Event_Id": "3", "Resumes": "q0"} | more
        return await gateway.call("q1", **fields)

    @asynchronous
    async def test_a_stream_goes_on_after_the_last_event(self):
        async with running_gateway(table=table()) as gateway:
            self._register(gateway, "v1", "v2")
            origin = StreamOrigin("q0", "svc", "v2")
            gateway.context.takeups.receive(OriginBatch([origin]))
            for _ in range(4):
                found = await self._take_up(gateway)
                self.assertEqual(
                    found.body, b"".join(stream_event(i) for i in (4, 5, 6))
                )
        self.assertEqual(set(gateway.received), {"e2"})

    @asynchronous
    async def test_a_stream_of_an_unknown_version_joins_no_other(self):
        async with running_gateway(table=table()) as gateway:
            self._register(gateway, "v1", "v2")
            for more in ({}, {"Resumes": ""}):
                found = await self._take_up(gateway, **more)
                self.assertEqual(found.status, 503)
                self.assertIn("retry-after", found.headers)
        self.assertEqual(gateway.received, [])

    @asynchronous
    async def test_a_version_that_left_lately_counts_as_possible(self):
        async with running_gateway(table=table()) as gateway:
            self._register(gateway, "v1", "v2")
            gateway.announce_leaving(gateway.engines[0])
            found = await self._take_up(gateway)
        self.assertEqual(found.status, 503)

    @asynchronous
    async def test_the_only_version_serves_a_stream_of_unknown_origin(self):
        async with running_gateway(table=table()) as gateway:
            self._register(gateway, "v1", "v1")
            found = await self._take_up(gateway)
        self.assertEqual(
            found.body, b"".join(stream_event(i) for i in (4, 5, 6))
        )

    @asynchronous
    async def test_a_stream_whose_version_is_gone_is_refused_at_once(self):
        async with running_gateway(table=table()) as gateway:
            self._register(gateway, "v1", "v1")
            origin = StreamOrigin("q0", "svc", "v0")
            gateway.context.takeups.receive(OriginBatch([origin]))
            found = await self._take_up(gateway)
        self.assertEqual(found.status, 503)
        # It has not waited for room.
        self.assertIn(b"version v0", found.body)
        self.assertEqual(gateway.received, [])

    @asynchronous
    async def test_a_stream_goes_on_at_the_service_that_began_it(self):
        split = table(("svc", 1.0), ("other", 1_000.0))
        async with running_gateway(table=split) as gateway:
            self._register(gateway, "v1", "v1", services=("svc", "other"))
            origin = StreamOrigin("q0", "svc", "v1")
            gateway.context.takeups.receive(OriginBatch([origin]))
            for _ in range(3):
                self.assertTrue((await self._take_up(gateway)).is_complete)
        self.assertEqual(set(gateway.received), {"e1"})

    @asynchronous
    async def test_a_stream_of_a_service_off_the_route_is_refused(self):
        moved = table(("other", 1.0), ("svc", 0.0))
        async with running_gateway(table=moved) as gateway:
            self._register(gateway, "v1", "v1", services=("svc", "other"))
            origin = StreamOrigin("q0", "svc", "v1")
            gateway.context.takeups.receive(OriginBatch([origin]))
            found = await self._take_up(gateway)
        self.assertEqual(found.status, 503)
        self.assertEqual(gateway.received, [])

    @asynchronous
    async def test_a_stream_that_is_taken_up_twice_names_its_first_attempt(
        self,
    ):
        async with running_gateway(table=table()) as gateway:
            self._register(gateway, "v1", "v2")
            await gateway.call("q0")
            first = gateway.received
            await self._take_up(gateway)
            origins = gateway.context.takeups._origins
            self.assertEqual(len(origins), 1)
            self.assertIsNotNone(origins.find("q0"))
            await gateway.call("q2", Last_Event_Id="5", Resumes="q0")
        self.assertEqual(set(gateway.received), set(first))

    @asynchronous
    async def test_a_version_that_left_before_the_start_counts_as_possible(
        self,
    ):
        # A gateway that starts has seen no endpoint of the version, and joined
        # events of the other one to the stream.
        async with running_gateway(table=table()) as gateway:
            self._register(gateway, "v2", "v2")
            cluster = ClusterView(
                gateway.context, gateway.streams, Transport(), lambda table: 0
            )
            key = f"{gateway.platform.version_prefix}svc/v1"
            cluster.apply_changes([build.write(key, 9)], False)
            found = await self._take_up(gateway)
            self.assertEqual(found.status, 503)
            cluster.apply_changes([build.deletion(key, 10)], False)
            found = await self._take_up(gateway)
            self.assertEqual(found.status, 200)

    @asynchronous
    async def test_a_version_that_an_endpoint_had_counts_as_possible(self):
        # An endpoint may start again with a new version under its id.
        async with running_gateway(1, table=table()) as gateway:
            cluster = ClusterView(
                gateway.context, gateway.streams, Transport(), lambda table: 0
            )
            engine = gateway.engines[0]
            engine.handler = generate
            prefix = gateway.platform.endpoint_prefix
            for revision, version in enumerate(("v1", "v2"), 5):
                engine.version = version
                change = build.write(
                    prefix + engine.name, revision, engine.ready_entry
                )
                cluster.apply_changes([change], False)
            found = await self._take_up(gateway)
        self.assertEqual(found.status, 503)

    def test_endpoints_of_another_service_are_no_version(self):
        endpoints = [
            build.endpoint("e1", version="v1"),
            build.endpoint("e2", version="v2", service="other"),
            build.endpoint("e3", version="v3", state=EndpointState.DRAINING),
        ]
        fleet = build.fleet(*endpoints)
        self.assertEqual(fleet.versions("svc"), {"v1", "v3"})
