"""Gateways that are cut off from all endpoints, as processes."""

import unittest

import anyio

from lab.standins import platformfiles
from lab.standins.cutgateway import (
    FILE_VARIABLE,
    HANG,
    REFUSE,
    RESET,
)
from lab.standins.platformengine import engine_headers, send_ok, stream_event
from tests.gatewayprocesses import ENGINE, config, deployment
from tests.helpers import asynchronous

GATEWAYS = 4
CUT = (1, 2)
CALLS = 12


async def serve(received_request, responder):
    """Responds as a plain service or as an engine, by the route."""
    if not received_request.request.target.startswith(b"/s/"):
        await send_ok(received_request, responder)
        return
    await responder.start_stream(200, engine_headers(received_request))
    for number in (1, 2, 3):
        await responder.write(stream_event(number))
    await responder.end_stream()


class CutGatewaysTest(unittest.TestCase):
    """Two of four gateways can't connect to any endpoint."""

    def _cut(self, d, number, kind):
        addresses = [endpoint.address for endpoint in d.endpoints]
        path = d.folder / f"cut{number}"
        path.write_text("\n".join([kind, *addresses]))

    async def _start(self, d):
        await d.store.put(
            platformfiles.CONFIG_KEY, config(version=2, engine=ENGINE)
        )
        for endpoint in d.endpoints:
            endpoint.handler = serve
        for number in range(1, GATEWAYS + 1):
            d.start(
                number,
                "lab.standins.cutgateway gateway",
                **{FILE_VARIABLE: str(d.folder / f"cut{number}")},
            )
        for number in range(1, GATEWAYS + 1):
            await d.until(lambda n=number: self._knows_all(d, n))

    async def _knows_all(self, d, number):
        peers = {
            e["fields"]["peer"]
            for e in d.events(number)
            if e["name"] == "gateway-changed" and e["fields"]["serving"]
        }
        return len(peers) == GATEWAYS - 1 and await d.is_ready(number)

    async def _call_all(self, d, number, prefix):
        """Returns the statuses of calls and generations, one after another."""
        statuses = []
        for i in range(CALLS):
            for kind in ("r", "s"):
                response = await d.get(
                    d.url(number, path=f"/{kind}/x"),
                    **{
                        "Host": "h.example",
                        "Authorization": "Bearer k1",
                        "Attempt-Id": f"{prefix}{kind}{i}",
                        "Deadline-Ms": "4000",
                        "Token-Usage": "100,100",
                    },
                )
                statuses.append(response and response.status_code)
        return statuses

    async def _has_noticed(self, d, number):
        """Calls until the gateway has noticed that it is cut off."""
        await d.call(number, f"notice{number}")
        return any(
            e["name"] == "isolation-changed" and e["fields"]["isolated"]
            for e in d.events(number)
        )

    async def _check_all_serve(self, kind):
        """Cuts two gateways off, and calls all."""
        async with deployment(endpoints=3) as d:
            await self._start(d)
            for number in CUT:
                self._cut(d, number, kind)
            for number in CUT:
                await d.until(lambda n=number: self._has_noticed(d, n))
            if kind == HANG:
                # Until then open connections are used that hang.
                await anyio.sleep(2.5)
            for number in range(1, GATEWAYS + 1):
                with self.subTest(gateway=number):
                    statuses = await self._call_all(d, number, f"q{number}")
                    self.assertEqual(statuses, [200] * len(statuses))

    @asynchronous
    async def test_callers_of_gateways_that_are_refused_are_refused(self):
        await self._check_all_serve(REFUSE)

    @asynchronous
    async def test_callers_of_gateways_whose_links_are_reset_are_refused(self):
        await self._check_all_serve(RESET)

    @asynchronous
    async def test_callers_of_gateways_whose_links_hang_are_refused(self):
        await self._check_all_serve(HANG)
