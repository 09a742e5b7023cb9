"""The entry program, which serves callers over HTTP."""

import random
from functools import partial

import orjson

from rhubarbwinch.admission.permits import PermitClient
from rhubarbwinch.admission.reports import StreamReporter
from rhubarbwinch.callers import models
from rhubarbwinch.callers.calls import parse_call
from rhubarbwinch.callers.drainlimit import run_until_limit
from rhubarbwinch.callers.generate import GenerationRunner
from rhubarbwinch.callers.guarded import GuardedGenerationRunner
from rhubarbwinch.callers.plain import PREFIX, PlainServiceProxy
from rhubarbwinch.callers.streams import OpenStreams
from rhubarbwinch.callers.takeover import Takeover
from rhubarbwinch.endpoints.endpointclient import EndpointClient
from rhubarbwinch.endpoints.retries import RatioRetryBudget
from rhubarbwinch.http.httpapi import App, Handler, Refused, Request, Responder
from rhubarbwinch.links.messages import PriorityChange, StreamTake
from rhubarbwinch.membership.members import Role
from rhubarbwinch.programs.claimcomponents import ClaimComponents
from rhubarbwinch.programs.config import EntrySettings
from rhubarbwinch.programs.daemon import Daemon
from rhubarbwinch.programs.dependencies import Dependencies
from rhubarbwinch.records.apikeys import ApiKeyChecker
from rhubarbwinch.shared import (
    events,
    identifiers,
    metrics,
    rendezvous,
    tracing,
)
from rhubarbwinch.shared.verdict import Reason, not_run

ENTRIES_TTL_MS = 5000
RETRY_AFTER_MS = 1000


class Entry:
    """The entry program.

    Args:
        settings: The entry's settings.
        dependencies: The program's dependencies; None for those of a process.
        endpoints: Calls endpoints; None for a client over HTTP.
    """

    def __init__(
        self,
        settings: EntrySettings,
        dependencies: Dependencies | None = None,
        endpoints: EndpointClient | None = None,
    ) -> None:
        daemon = Daemon(Role.ENTRY, settings, dependencies)
        self._daemon = daemon
        self._api_keys = ApiKeyChecker()
        self._endpoints = endpoints or EndpointClient(
            settings.endpoint_silence_ms
        )
        self._permits = PermitClient(
            daemon.links,
            daemon.members,
            settings.permit_timeout_ms,
            daemon.metrics,
        )
        ids = identifiers.IdGenerator(
            daemon.incarnation, settings.stream_secret
        )
        self._claims = ClaimComponents(daemon, settings)
        self._streams = OpenStreams(
            self._permits,
            self._endpoints,
            daemon.clock,
            settings.resume_grace_ms,
            self._claims.meter,
        )
        self._takeover = Takeover(
            self._streams,
            daemon.links,
            daemon.members,
            settings.permit_timeout_ms,
        )
        self._runner = GenerationRunner(
            self._permits,
            self._endpoints,
            self._streams,
            ids,
            daemon.clock,
            daemon.metrics,
            RatioRetryBudget(),
            random.Random(daemon.incarnation),
            settings.name,
            settings.data_center,
        )
        self._guarded_runner = GuardedGenerationRunner(
            self._runner,
            self._claims.quarantine,
            self._claims.claims,
            self._permits,
            self._endpoints,
        )
        self._plain_services = PlainServiceProxy(
            self._permits,
            self._endpoints,
            self._claims.claims,
            ids,
            settings.name,
            settings.data_center,
        )
        self._reporter = StreamReporter(
            settings.name,
            self._permits,
            daemon.members,
            daemon.links,
            daemon.clock,
        )
        self._open_count = 0
        self._tls = settings.tls
        if not settings.stream_secret:
            events.NO_STREAM_SECRET.log()
        self._app = App(settings.max_body_bytes, settings.body_timeout_ms)

    @property
    def daemon(self) -> Daemon:
        """The daemon, for a program that embeds the entry."""
        return self._daemon

    @property
    def app(self) -> App:
        """The ASGI application, for a program that embeds the entry."""
        return self._app

    async def run(self) -> None:
        """Runs until the program is stopped."""
        daemon = self._daemon
        generate = self._instrument(self._generate)
        self._app.route("POST", "/v1/completions", generate)
        self._app.route("POST", "/v1/chat/completions", generate)
        self._app.route("GET", "/v1/entries", self._list_entries)
        self._app.route("GET", "/v1/models", self._list_models)
        self._app.route("*", PREFIX, self._instrument(self._call_plain))
        daemon.server.on(StreamTake, self._streams.hand_over)
        daemon.server.on(PriorityChange, self._streams.change_priority)
        daemon.drain.open_count = lambda: self._open_count
        self._app.is_closing = lambda: daemon.drain.started
        daemon.serve_http(self._app, self._tls)
        daemon.add("reports", self._reporter.run)
        self._claims.attach(daemon)
        daemon.add("streams", self._streams.run)
        await daemon.run()
        await self._endpoints.close()

    def _instrument(self, handle: Handler) -> Handler:
        """Wraps a handler in a span and in metrics."""
        counters = self._daemon.metrics

        async def run(request: Request, responder: Responder) -> None:
            parent = request.headers.get(tracing.HEADER, "")
            with tracing.span("entry", parent, path=request.path):
                try:
                    await handle(request, responder)
                except Refused as refused:
                    counters.count(metrics.FAILURES)
                    tracing.record_failure(refused.failure)
                    raise
                finally:
                    counters.gauge(metrics.OPEN_STREAMS, self._open_count)

        return run

    def _authenticate(self, request: Request) -> str:
        """Authenticates a request and returns the caller's account.

        Raises:
            Refused: The API key is unknown, or the program is draining.
        """
        if self._daemon.drain.started:
            detail = "this entry is leaving; others: " + ", ".join(
                self._other_entries()
            )
            raise Refused(not_run(Reason.DRAINING, detail, RETRY_AFTER_MS))
        snapshot = self._daemon.config.snapshot
        account = self._api_keys.find_account(request.api_key, snapshot)
        if account is None:
            raise Refused(not_run(Reason.UNAUTHENTICATED, "unknown API key"))
        self._daemon.metrics.count(metrics.REQUESTS)
        return account

    def _other_entries(self) -> list[str]:
        """Returns the addresses of the other entries that are serving."""
        members = self._daemon.members
        return [
            m.http
            for m in members.serving(Role.ENTRY)
            if m.name != members.me.name
        ]

    async def _generate(self, request: Request, responder: Responder) -> None:
        await run_until_limit(
            self._daemon.drain.limit,
            partial(self._start_or_resume, request, responder),
            responder,
            self._other_entries,
        )

    async def _start_or_resume(
        self, request: Request, responder: Responder
    ) -> None:
        account = self._authenticate(request)
        snapshot = self._daemon.config.snapshot
        self._open_count += 1
        try:
            last_event_id = request.headers.get("last-event-id")
            if last_event_id is None:
                call = parse_call(account, request, snapshot)
                await self._guarded_runner.serve(call, snapshot, responder)
                return
            after = identifiers.parse_event_id(last_event_id)
            if after is None:
                raise Refused(not_run(Reason.BAD_REQUEST, "Last-Event-ID"))
            self._runner.check_owner(account, after.generation)
            permit = await self._takeover.acquire_permit(
                after.generation, snapshot
            )
            await self._runner.resume(
                account, after, snapshot, responder, permit
            )
        finally:
            self._open_count -= 1

    async def _call_plain(self, request: Request, responder: Responder) -> None:
        await run_until_limit(
            self._daemon.drain.limit,
            partial(self._forward, request, responder),
            responder,
            self._other_entries,
        )

    async def _forward(self, request: Request, responder: Responder) -> None:
        account = self._authenticate(request)
        snapshot = self._daemon.config.snapshot
        self._open_count += 1
        try:
            await self._plain_services.serve(
                account, request, snapshot, responder
            )
        finally:
            self._open_count -= 1

    async def _list_entries(
        self, request: Request, responder: Responder
    ) -> None:
        """Lists the entries, in an order that depends on the account."""
        snapshot = self._daemon.config.snapshot
        account = self._api_keys.find_account(request.api_key, snapshot) or ""
        entries = {m.name: m for m in self._daemon.members.serving(Role.ENTRY)}
        order = rendezvous.ranking(account, entries)
        listed = [
            {
                "name": name,
                "address": entries[name].http,
                "data_center": entries[name].data_center,
            }
            for name in order
        ]
        data = {"entries": listed, "ttl_ms": ENTRIES_TTL_MS}
        await responder.send_json(orjson.dumps(data))

    async def _list_models(
        self, request: Request, responder: Responder
    ) -> None:
        """Lists the account's generation services in OpenAI's format."""
        account = self._authenticate(request)
        snapshot = self._daemon.config.snapshot
        await responder.send_json(models.model_list(account, snapshot))
