"""Handles orders to the engine stand-in."""

from typing import Any

import attrs
import httpx
import orjson

from rhubarbwinch.http.httpapi import App, Request, Responder


@attrs.frozen
class AppliedOrder:
    """An order that was applied."""

    kind: str
    subject: str
    fence: int


class OrderHandler:
    """Applies orders, with or without a check of their fencing numbers.

    Args:
        checks_fencing: Whether orders with a lower fencing number than the
            highest one seen are refused.
        weights: `a.b.c.d:port` of the weight store, or empty.
    """

    def __init__(self, checks_fencing: bool, weights: str = "") -> None:
        self.applied_orders: list[AppliedOrder] = []
        self._checks_fencing = checks_fencing
        self._weights = weights
        self._loaded: set[str] = set()
        self._role = "mixed"
        self._fence = 0

    def add_routes(self, app: App) -> None:
        """Adds the HTTP routes for orders."""
        app.route("POST", "/orders", self._handle_order)
        app.route("GET", "/state", self._show_state)
        app.route("GET", "/order-log", self._show_log)

    def apply_order(self, kind: str, subject: str, fence: int) -> bool:
        """Applies an order; returns False if it is refused."""
        if self._checks_fencing and fence < self._fence:
            return False
        self._fence = max(self._fence, fence)
        if kind == "load":
            self._loaded.add(subject)
        elif kind == "unload":
            self._loaded.discard(subject)
        else:
            self._role = subject
        self.applied_orders.append(AppliedOrder(kind, subject, fence))
        return True

    def state(self) -> dict[str, Any]:
        """Returns the loaded subjects and the role."""
        return {"loaded": sorted(self._loaded), "role": self._role}

    async def _handle_order(
        self, request: Request, responder: Responder
    ) -> None:
        data = orjson.loads(request.body)
        if data["kind"] == "load" and not await self._can_load(data["subject"]):
            await responder.send_json(b'{"error":"no weights"}', 503)
            return
        applied = self.apply_order(data["kind"], data["subject"], data["fence"])
        await responder.send_json(b"{}", 200 if applied else 409)

    async def _can_load(self, subject: str) -> bool:
        """Reads weights from the weight store, if any; returns the success."""
        if not self._weights:
            return True
        async with httpx.AsyncClient() as client:
            url = f"http://{self._weights}/weights/{subject}"
            return (await client.get(url)).status_code == httpx.codes.OK

    async def _show_state(self, _: Request, responder: Responder) -> None:
        await responder.send_json(orjson.dumps(self.state()))

    async def _show_log(self, _: Request, responder: Responder) -> None:
        rows = [attrs.asdict(order) for order in self.applied_orders]
        await responder.send_json(orjson.dumps(rows))
