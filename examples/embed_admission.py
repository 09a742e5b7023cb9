"""Embeds the admission control of one pool in another program.

Run it with `python -m examples.embed_admission`.
"""

import random

from rhubarbwinch.admission.admission import Admission
from rhubarbwinch.links.messages import PermitRelease, PermitRequest, StreamEnd
from rhubarbwinch.records.records import EndpointSpec, PoolSpec
from rhubarbwinch.shared.clock import SystemClock

POOL = "vintner.dc-a"


def main() -> None:
    """Requests a permit, prints the granted endpoint and releases it."""
    engines = [EndpointSpec("engine-1", "127.0.0.1:8000")]
    spec = PoolSpec("vintner", "dc-a", engines)
    admission = Admission(spec, SystemClock(), random.Random(1))
    request = PermitRequest(
        request_id="r1",
        entry="my-service",
        pool=POOL,
        account="acme",
        service="chat",
        prompt_tokens=120,
        max_tokens=512,
        wait_ms=500,
    )
    for decision in admission.submit(request):
        if decision.reply.grant is not None:
            print(f"{decision.request_id}: {decision.reply.grant.address}")
        else:
            print(f"{decision.request_id}: {decision.reply.failure}")
    release = PermitRelease("r1", POOL, StreamEnd.FINISHED, tokens=80)
    admission.release(release)


if __name__ == "__main__":
    main()
