"""Tests how many endpoints a crashing request kills and what is refused."""

import contextlib

import anyio
import httpx

from rhubarbwinch.admission.permits import Permit
from rhubarbwinch.callers.runguard import QuarantineGuard
from rhubarbwinch.claims.quarantine import Quarantine
from rhubarbwinch.http.httpapi import Refused
from rhubarbwinch.links.messages import PermitGrant
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.exceptions import EndpointError
from rhubarbwinch.stores.memstore import MemoryStore
from tests import builders
from tests.fleet import AUTHORIZATION, Fleet
from tests.helpers import GoldTestCase, asynchronous

ATTEMPTS = 3


class Member:
    """A member with its quarantine and its broadcasts."""

    def __init__(self, cluster):
        self._cluster = cluster
        self.handler = None
        self.quarantine = Quarantine(cluster.store, self, cluster.clock, 0)

    def on_update(self, kind, handler):
        self.handler = handler

    def broadcast(self, kind, key, data):
        self._cluster.updates.append((self, key, data))


class Cluster:
    """Engines that some requests crash, and members that run requests."""

    def __init__(self, engines=8, members=4):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.alive = {f"engine-{i}": anyio.Event() for i in range(engines)}
        self.lost = 0
        self.poison_ms = 0
        self.trial_ms = 0
        self.trials = dict.fromkeys(self.alive, 0)
        self.most_trials = 0
        self.updates = []
        self.members = [Member(self) for _ in range(members)]
        self.runs = 0
        self.lines = []

    async def load(self):
        """Loads the suspects from the store at all members."""
        for member in self.members:
            await member.quarantine.load()

    async def spread(self):
        """Delivers the broadcasts of each member to all others."""
        while self.updates:
            sender, key, data = self.updates.pop(0)
            for member in self.members:
                if member is not sender:
                    await member.handler(key, data)

    def note(self, text):
        """Appends a line to the golden text."""
        self.lines.append(f"{text}; engines lost {self.lost}")

    # The methods that a guard calls on its endpoint and permit clients.

    async def read_json(self, url):
        name = url.split("/")[2]
        if name not in self.alive:
            raise EndpointError("connection refused", sent=False)
        return {}

    async def release_permit(self, permit, end, tokens=0):
        pass

    def kill(self, name):
        """Kills an engine and all its runs."""
        self.lost += 1
        self.alive.pop(name).set()

    async def run(self, permit, poison, hold, on_trial):
        """Runs a request on its engine."""
        name = permit.grant.endpoint
        died = self.alive[name]
        if on_trial:
            self.trials[name] += 1
            self.most_trials = max(self.most_trials, self.trials[name])
            await self.clock.sleep(self.trial_ms)
            self.trials[name] -= 1
        if poison:
            # During this time, copies of the request can be sent to other
            # engines.
            await self.clock.sleep(self.poison_ms)
            self.kill(name)
        elif hold is not None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_after, died, tasks.cancel_scope)
                tasks.start_soon(_cancel_after, hold, tasks.cancel_scope)
        if died.is_set():
            raise EndpointError("the connection broke", sent=True)

    async def send(
        self,
        member,
        content,
        poison=False,
        hold=None,
        first="",
        repeatable=True,
    ):
        """Runs a request with retries at other engines, as an entry does."""
        guard = QuarantineGuard(
            self.members[member].quarantine, self, self, content, repeatable
        )
        avoid = []
        try:
            await guard.check()
            while True:
                usable = [n for n in sorted(self.alive) if n not in avoid]
                name = first or usable[0]
                first = ""
                self.runs += 1
                request = builders.permit_request(f"a-{self.runs:x}-t")
                permit = Permit(
                    request, PermitGrant(request.request_id, name, name)
                )
                try:
                    async with guard.run(permit):
                        known = self.members[member].quarantine.get(content)
                        await self.run(permit, poison, hold, bool(known))
                    return "200"
                except EndpointError as error:
                    avoid.append(name)
                    if len(avoid) >= ATTEMPTS:
                        return f"broken, sent {error.sent}"
        except Refused as refused:
            failure = refused.failure
            return f"{failure.verdict} {failure.reason}"


async def _cancel_after(event, scope):
    await event.wait()
    scope.cancel()


class QuarantineTest(GoldTestCase):
    """Strikes, trials and quarantine, also of harmless requests."""

    @asynchronous
    async def test_a_crashing_request_kills_at_most_two_endpoints(self):
        cluster = Cluster()
        await cluster.load()
        for number in range(6):
            status = await cluster.send(number % 4, "bad", poison=True)
            await cluster.spread()
            cluster.note(f"member {number % 4}: {status}")
        late = Member(cluster)
        cluster.members.append(late)
        await late.quarantine.load()
        status = await cluster.send(4, "bad", poison=True)
        cluster.note(f"a member that started later: {status}")
        cluster.note(f"another request: {await cluster.send(4, 'good')}")
        self.assert_gold("quarantine", "\n".join(cluster.lines) + "\n")

    @asynchronous
    async def test_concurrent_copies_after_a_strike_share_one_trial(self):
        cluster = Cluster()
        await cluster.load()
        quarantine = cluster.members[0].quarantine
        cluster.kill("engine-0")
        await quarantine.record_strike("bad", "a-0-t~engine-0")
        await cluster.spread()
        cluster.poison_ms = 1_000
        answers = []

        async def send(member):
            first = f"engine-{member + 1}"
            status = await cluster.send(member, "bad", poison=True, first=first)
            answers.append(status)

        async with anyio.create_task_group() as tasks:
            for member in (0, 1, 2, 3):
                tasks.start_soon(send, member)
            for _ in range(14):
                await cluster.clock.advance(500)
        cluster.poison_ms = 0
        for status in sorted(answers):
            cluster.note(status)
        cluster.note(f"answers {len(answers)}")
        await cluster.spread()
        cluster.note(f"again: {await cluster.send(1, 'bad', poison=True)}")
        cluster.store.faults.down = True
        quarantine = cluster.members[2].quarantine
        await quarantine.record_strike("worse", "a-1-t~engine-1")
        status = await cluster.send(2, "worse", poison=True)
        cluster.note(f"trial with the store down: {status}")
        cluster.store.faults.down = False
        await cluster.load()
        status = await cluster.send(3, "worse", repeatable=False)
        cluster.note(f"not repeatable, after a strike: {status}")
        self.assert_gold("quarantine-copies", "\n".join(cluster.lines) + "\n")

    @asynchronous
    async def test_harmless_requests_are_cleared_by_finishing(self):
        cluster = Cluster(engines=5)
        await cluster.load()
        answers = {}

        async def send(name, hold):
            status = await cluster.send(1, name, hold=hold, first="engine-0")
            answers[name] = status

        hold = anyio.Event()
        async with anyio.create_task_group() as tasks:
            for name in ("good-1", "good-2", "good-3"):
                tasks.start_soon(send, name, hold)
            await anyio.wait_all_tasks_blocked()
            status = await cluster.send(0, "bad", poison=True)
            await anyio.wait_all_tasks_blocked()
            cluster.note(f"bad: {status}")
            hold.set()
            cluster.trial_ms = 1_000
            for _ in range(20):
                await cluster.clock.advance(500)
        for name, status in sorted(answers.items()):
            cluster.note(f"{name}: {status}")
        cluster.note(f"suspects at once on an engine: {cluster.most_trials}")
        await cluster.spread()
        for name in ("good-1", "good-2", "good-3", "bad"):
            known = [m.quarantine.get(name) for m in cluster.members]
            cluster.note(
                f"{name} is a suspect at {sum(map(bool, known))} members"
            )
        self.assert_gold("quarantine-innocent", "\n".join(cluster.lines) + "\n")

    @asynchronous
    async def test_a_harmless_request_repeated_during_its_trial_waits(self):
        cluster = Cluster()
        await cluster.load()
        await cluster.members[0].quarantine.record_strike(
            "good", "a-0-t~engine-0"
        )
        await cluster.spread()
        cluster.trial_ms = 1_000
        answers = []

        async def send(member, first):
            answers.append(await cluster.send(member, "good", first=first))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, 0, "engine-1")
            tasks.start_soon(send, 1, "engine-2")
            for _ in range(6):
                await cluster.clock.advance(500)
                await cluster.spread()
        cluster.note(f"both: {answers}")
        self.assert_gold("quarantine-again", "\n".join(cluster.lines) + "\n")

    @asynchronous
    async def test_a_caller_that_disconnects_does_not_hide_a_crash(self):
        cluster = Cluster()
        await cluster.load()
        for _ in range(4):
            with anyio.CancelScope() as scope:
                first = sorted(cluster.alive)[0]

                async def hang_up(scope=scope, first=first):
                    await anyio.wait_all_tasks_blocked()
                    cluster.alive.pop(first)
                    cluster.lost += 1
                    scope.cancel()

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(hang_up)
                    status = await cluster.send(0, "bad", hold=anyio.Event())
                    tasks.cancel_scope.cancel()
                    cluster.note(status)
        cluster.note("the end")
        self.assert_gold("quarantine-hang-up", "\n".join(cluster.lines) + "\n")

    def test_processes_lose_at_most_two_engines(self):
        with Fleet(entries=3, engines=5) as fleet:
            body = {"model": "chat", "prompt": "poison"}
            verdicts = []
            alive = _count(fleet)
            for number in range(6):
                url = f"http://{fleet.entries[number % 3]}/v1/completions"
                response = httpx.post(
                    url, json=body, headers=AUTHORIZATION, timeout=20
                )
                verdicts.append(response.headers["x-verdict"])
            lines = [
                f"told {verdicts}",
                f"engines lost {alive - _count(fleet)}",
            ]
            address = fleet.add_entry("entry-late")
            response = httpx.post(
                f"http://{address}/v1/completions",
                json=body,
                headers=AUTHORIZATION,
            )
            lines.append(
                f"a later entry: {response.status_code} "
                f"{response.headers['x-verdict']}"
            )
            good = httpx.post(
                f"http://{address}/v1/completions",
                json={"model": "chat", "prompt": "len=2"},
                headers=AUTHORIZATION,
                timeout=20,
            )
            lines.append(f"another request: {good.status_code}")
            lines.append(f"engines lost {alive - _count(fleet)}")
        self.assert_gold("quarantine-processes", "\n".join(lines) + "\n")


def _count(fleet):
    """Returns the number of engines that respond."""
    alive = 0
    for address in fleet.engines:
        with contextlib.suppress(httpx.HTTPError):
            httpx.get(f"http://{address}/load")
            alive += 1
    return alive
