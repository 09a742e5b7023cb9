"""Requests that crash endpoints: how many are lost, and who is refused."""

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
    """A member: its quarantine, and the news that it gives and takes."""

    def __init__(self, room):
        self._room = room
        self.handler = None
        self.quarantine = Quarantine(room.store, self, room.clock, 0)

    def on(self, kind, handler):
        self.handler = handler

    def share(self, kind, key, data):
        self._room.news.append((self, key, data))


class Room:
    """Engines that die of some requests, and members that run requests."""

    def __init__(self, engines=8, members=4):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.alive = {f"engine-{i}": anyio.Event() for i in range(engines)}
        self.lost = 0
        self.poison_ms = 0
        self.trial_ms = 0
        self.trials = dict.fromkeys(self.alive, 0)
        self.most_trials = 0
        self.news = []
        self.members = [Member(self) for _ in range(members)]
        self.runs = 0
        self.lines = []

    async def load(self):
        """Lets all members read the store."""
        for member in self.members:
            await member.quarantine.load()

    async def spread(self):
        """Delivers the news of all members to the others."""
        while self.news:
            sender, key, data = self.news.pop(0)
            for member in self.members:
                if member is not sender:
                    await member.handler(key, data)

    def note(self, text):
        """Adds a line to the session."""
        self.lines.append(f"{text}; engines lost {self.lost}")

    # What a guard needs of endpoints and permits.

    async def read_json(self, url):
        name = url.split("/")[2]
        if name not in self.alive:
            raise EndpointError("connection refused", sent=False)
        return {}

    async def give_back(self, permit, end, tokens=0):
        pass

    def kill(self, name):
        """Ends an engine and all that runs on it."""
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
            # A request has some time to spread before its engine dies.
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
        """Runs a request with retries, as an entry does."""
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
    """Strikes, trials, quarantine and the innocent."""

    @asynchronous
    async def test_a_poisonous_request_costs_two_endpoints_at_most(self):
        room = Room()
        await room.load()
        for number in range(6):
            told = await room.send(number % 4, "bad", poison=True)
            await room.spread()
            room.note(f"member {number % 4}: {told}")
        late = Member(room)
        room.members.append(late)
        await late.quarantine.load()
        told = await room.send(4, "bad", poison=True)
        room.note(f"a member that started later: {told}")
        room.note(f"another request: {await room.send(4, 'good')}")
        self.assert_gold("quarantine", "\n".join(room.lines) + "\n")

    @asynchronous
    async def test_copies_sent_at_once_after_a_strike_share_one_trial(self):
        room = Room()
        await room.load()
        quarantine = room.members[0].quarantine
        room.kill("engine-0")
        await quarantine.strike("bad", "a-0-t~engine-0")
        await room.spread()
        room.poison_ms = 1_000
        answers = []

        async def send(member):
            first = f"engine-{member + 1}"
            told = await room.send(member, "bad", poison=True, first=first)
            answers.append(told)

        async with anyio.create_task_group() as tasks:
            for member in (0, 1, 2, 3):
                tasks.start_soon(send, member)
            for _ in range(14):
                await room.clock.advance(500)
        room.poison_ms = 0
        for told in sorted(answers):
            room.note(told)
        room.note(f"answers {len(answers)}")
        await room.spread()
        room.note(f"again: {await room.send(1, 'bad', poison=True)}")
        room.store.faults.down = True
        quarantine = room.members[2].quarantine
        await quarantine.strike("worse", "a-1-t~engine-1")
        told = await room.send(2, "worse", poison=True)
        room.note(f"trial with the store down: {told}")
        room.store.faults.down = False
        await room.load()
        told = await room.send(3, "worse", repeatable=False)
        room.note(f"not repeatable, after a strike: {told}")
        self.assert_gold("quarantine-copies", "\n".join(room.lines) + "\n")

    @asynchronous
    async def test_innocent_requests_clear_themselves_by_finishing(self):
        room = Room(engines=5)
        await room.load()
        answers = {}

        async def send(name, hold):
            told = await room.send(1, name, hold=hold, first="engine-0")
            answers[name] = told

        hold = anyio.Event()
        async with anyio.create_task_group() as tasks:
            for name in ("good-1", "good-2", "good-3"):
                tasks.start_soon(send, name, hold)
            await anyio.wait_all_tasks_blocked()
            told = await room.send(0, "bad", poison=True)
            await anyio.wait_all_tasks_blocked()
            room.note(f"bad: {told}")
            hold.set()
            room.trial_ms = 1_000
            for _ in range(20):
                await room.clock.advance(500)
        for name, told in sorted(answers.items()):
            room.note(f"{name}: {told}")
        room.note(f"suspects at once on an engine: {room.most_trials}")
        await room.spread()
        for name in ("good-1", "good-2", "good-3", "bad"):
            known = [m.quarantine.get(name) for m in room.members]
            room.note(f"{name} is a suspect at {sum(map(bool, known))} members")
        self.assert_gold("quarantine-innocent", "\n".join(room.lines) + "\n")

    @asynchronous
    async def test_an_innocent_request_sent_again_in_its_trial_waits(self):
        room = Room()
        await room.load()
        await room.members[0].quarantine.strike("good", "a-0-t~engine-0")
        await room.spread()
        room.trial_ms = 1_000
        answers = []

        async def send(member, first):
            answers.append(await room.send(member, "good", first=first))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, 0, "engine-1")
            tasks.start_soon(send, 1, "engine-2")
            for _ in range(6):
                await room.clock.advance(500)
                await room.spread()
        room.note(f"both: {answers}")
        self.assert_gold("quarantine-again", "\n".join(room.lines) + "\n")

    @asynchronous
    async def test_a_caller_that_hangs_up_does_not_hide_a_death(self):
        room = Room()
        await room.load()
        for _ in range(4):
            with anyio.CancelScope() as scope:
                first = sorted(room.alive)[0]

                async def hang_up(scope=scope, first=first):
                    await anyio.wait_all_tasks_blocked()
                    room.alive.pop(first)
                    room.lost += 1
                    scope.cancel()

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(hang_up)
                    told = await room.send(0, "bad", hold=anyio.Event())
                    tasks.cancel_scope.cancel()
                    room.note(told)
        room.note("the end")
        self.assert_gold("quarantine-hang-up", "\n".join(room.lines) + "\n")

    def test_processes_lose_two_engines_at_most(self):
        with Fleet(entries=3, engines=5) as fleet:
            body = {"model": "chat", "prompt": "poison"}
            told = []
            alive = _count(fleet)
            for number in range(6):
                url = f"http://{fleet.entries[number % 3]}/v1/completions"
                answer = httpx.post(
                    url, json=body, headers=AUTHORIZATION, timeout=20
                )
                told.append(answer.headers["x-verdict"])
            lines = [f"told {told}", f"engines lost {alive - _count(fleet)}"]
            address = fleet.add_entry("entry-late")
            answer = httpx.post(
                f"http://{address}/v1/completions",
                json=body,
                headers=AUTHORIZATION,
            )
            lines.append(
                f"a later entry: {answer.status_code} "
                f"{answer.headers['x-verdict']}"
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
    """Returns how many engines answer."""
    alive = 0
    for address in fleet.engines:
        with contextlib.suppress(httpx.HTTPError):
            httpx.get(f"http://{address}/load")
            alive += 1
    return alive
