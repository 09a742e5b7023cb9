"""Generates the simulated traffic of the two deployments from a seed."""

import math
import random
from collections.abc import Iterator

import attrs

from lab.enginemodel import BLOCK_TOKENS
from rhubarbwinch.links.messages import PermitRequest
from rhubarbwinch.records.records import AccountSpec

ENTRIES = 4
POOL = "model.dc"
CANCELLED_SHARE = 0.03
PROMPT_ESTIMATE_ERROR = 0.15


@attrs.frozen
class TrafficClass:
    """A class of requests with the same service and distribution of lengths.

    Attributes:
        name: The service's name.
        interactive: Whether a person waits for the first token.
        wait_ms: The maximum wait in the queue.
        first_token_target_ms: The target for the time to the first token.
        requests_per_s: The arrival rate at load 1, not yet scaled by capacity.
        prefix_blocks: Leading prompt blocks that an account's requests share.
        prompt_median: The median number of prompt tokens after the prefix.
        prompt_sigma: The standard deviation of their logarithm.
        output_median: The median number of generated tokens.
        output_sigma: The standard deviation of their logarithm.
        max_tokens: The limit on the output that the caller sets.
    """

    name: str
    interactive: bool
    wait_ms: int
    first_token_target_ms: int
    requests_per_s: float
    prefix_blocks: int
    prompt_median: float
    prompt_sigma: float
    output_median: float
    output_sigma: float
    max_tokens: int


@attrs.frozen
class Deployment:
    """A deployment of six engines and ten accounts.

    Attributes:
        name: The name in tables and in the history.
        classes: The traffic classes, the interactive one first.
    """

    name: str
    classes: list[TrafficClass]


KIELICHOWA = Deployment(
    "kielichowa",
    [
        TrafficClass("guest", True, 600, 890, 30.0, 4, 60, 0.6, 70, 0.9, 1024),
        TrafficClass(
            "itinerary", False, 60_000, 60_890, 3.0, 6, 300, 0.5, 900, 1.0, 8192
        ),
    ],
)
KALGOORLIE = Deployment(
    "kalgoorlie",
    [
        TrafficClass("grade", True, 600, 890, 15.0, 2, 80, 0.4, 24, 0.7, 512),
        TrafficClass(
            "draft", False, 90_000, 90_890, 1.25, 4, 900, 0.4, 2200, 0.7, 8192
        ),
    ],
)
DEPLOYMENTS = {d.name: d for d in (KIELICHOWA, KALGOORLIE)}
ACCOUNT_WEIGHTS = [6, 4, 3, 1, 1, 1, 1, 1, 1, 1]
ACCOUNTS = [f"account-{i}" for i in range(len(ACCOUNT_WEIGHTS))]
FLOODING_ACCOUNT = "account-2"


def account_specs() -> dict[str, AccountSpec]:
    """Returns the account records, weighted by the share of traffic."""
    return {
        name: AccountSpec(weight=float(size))
        for name, size in zip(ACCOUNTS, ACCOUNT_WEIGHTS, strict=True)
    }


@attrs.frozen
class Arrival:
    """A simulated request and the time at which its caller sends it.

    Attributes:
        at_ms: The time of arrival.
        kind: The traffic class.
        request: The permit request that the broker receives.
        prompt_tokens: The true length of the prompt.
        output_tokens: The true length of the output.
        is_cancelled: Whether the caller disconnects after `output_tokens`.
    """

    at_ms: float
    kind: TrafficClass
    request: PermitRequest
    prompt_tokens: int
    output_tokens: int
    is_cancelled: bool


@attrs.frozen
class TrafficPattern:
    """The load and its changes during a run.

    Attributes:
        load: The factor on the arrival rates of the classes.
        shift_at_ms: The time from which outputs are longer.
        shift_factor: The factor on output lengths from `shift_at_ms` on.
        flood_at_ms: The time from which `FLOODING_ACCOUNT` sends more requests.
        flood_factor: The factor on its arrival rate from `flood_at_ms` on.
    """

    load: float
    shift_at_ms: float = math.inf
    shift_factor: float = 2.0
    flood_at_ms: float = math.inf
    flood_factor: float = 6.0


def arrivals(
    deployment: Deployment, traffic: TrafficPattern, seed: int, end_ms: float
) -> Iterator[Arrival]:
    """Yields the requests of all classes and accounts, sorted by time.

    Each class and account has its own random generator, so that a flood by
    one account does not change the requests of the others.
    """
    found: list[Arrival] = []
    for kind in deployment.classes:
        for account, size in zip(ACCOUNTS, ACCOUNT_WEIGHTS, strict=True):
            rng = random.Random(f"{seed}/{kind.name}/{account}")
            requests_per_ms = kind.requests_per_s * traffic.load / 1000
            share = size / sum(ACCOUNT_WEIGHTS)
            source = _RequestSource(
                kind, account, requests_per_ms * share, traffic, rng
            )
            found.extend(source.arrivals_until(end_ms))
    yield from sorted(found, key=lambda a: a.at_ms)


class _RequestSource:
    """Generates the requests of one class and account."""

    def __init__(
        self,
        kind: TrafficClass,
        account: str,
        requests_per_ms: float,
        traffic: TrafficPattern,
        rng: random.Random,
    ) -> None:
        self._kind = kind
        self._account = account
        self._requests_per_ms = requests_per_ms
        self._traffic = traffic
        self._rng = rng
        # Output lengths differ between accounts.
        self._length_factor = math.exp(rng.gauss(0, 0.3))
        self._prefix = [rng.getrandbits(60) for _ in range(kind.prefix_blocks)]

    def arrivals_until(self, end_ms: float) -> Iterator[Arrival]:
        now, number = 0.0, 0
        while True:
            is_flooding = (
                self._account == FLOODING_ACCOUNT
                and now >= self._traffic.flood_at_ms
            )
            factor = self._traffic.flood_factor if is_flooding else 1.0
            now += self._rng.expovariate(self._requests_per_ms * factor)
            if now >= end_ms:
                return
            number += 1
            yield self._arrival(now, number)

    def _arrival(self, now: float, number: int) -> Arrival:
        kind, rng = self._kind, self._rng
        own_tokens = rng.lognormvariate(
            math.log(kind.prompt_median), kind.prompt_sigma
        )
        prompt = kind.prefix_blocks * BLOCK_TOKENS + int(own_tokens) + 1
        median = kind.output_median * self._length_factor
        if now >= self._traffic.shift_at_ms:
            median *= self._traffic.shift_factor
        output = rng.lognormvariate(math.log(median), kind.output_sigma)
        length = max(1, min(kind.max_tokens, int(output)))
        is_cancelled = rng.random() < CANCELLED_SHARE
        if is_cancelled:
            length = rng.randint(1, length)
        error = rng.uniform(-PROMPT_ESTIMATE_ERROR, PROMPT_ESTIMATE_ERROR)
        request = PermitRequest(
            request_id=f"{kind.name}-{self._account}-{number}",
            entry=f"entry-{rng.randrange(ENTRIES)}",
            pool=POOL,
            account=self._account,
            service=kind.name,
            interactive=kind.interactive,
            prompt_tokens=int(prompt * (1 + error)),
            max_tokens=kind.max_tokens,
            prefix=self._prefix,
            wait_ms=kind.wait_ms,
        )
        return Arrival(now, kind, request, prompt, length, is_cancelled)
