"""Reads the state of a deployment: members, pools and active configuration."""

import anyio
import attrs
import httpx
import orjson

from rhubarbwinch.membership.members import Member, MemberState, Role
from rhubarbwinch.programs import ctl
from rhubarbwinch.records import acceptedconfig, records
from rhubarbwinch.records.acceptedconfig import ConfigSnapshot
from rhubarbwinch.records.records import Record
from rhubarbwinch.shared import codec, events, rendezvous
from rhubarbwinch.shared.exceptions import RecordError
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.store import Store

READ_TIMEOUT_S = 2.0
MAX_CONCURRENT_READS = 32


@attrs.frozen
class RecordState:
    """An operator's record and whether it is active.

    Attributes:
        record: The record as it is in the store.
        revision: The record's revision in the store.
        state: `in force` for an active record, `pending` or `rejected`.
        error: Why the record was rejected; empty otherwise.
    """

    record: Record
    revision: int
    state: str
    error: str = ""


@attrs.frozen
class MemberStatus:
    """A registered member.

    Attributes:
        member: The member.
        generation: The configuration generation that is active at the member;
            None if the member did not reply.
    """

    member: Member
    generation: int | None


@attrs.frozen
class PoolStatus:
    """The state of a pool.

    Attributes:
        name: The pool's name.
        owner: The broker that owns the pool, computed from the registered
            members.
        endpoints: The number of endpoints in the pool.
        leaving: The number of endpoints on VMs that records mark as leaving.
    """

    name: str
    owner: str
    endpoints: int
    leaving: int


@attrs.frozen
class FleetStatus:
    """The state of a deployment, read from the store and its members.

    Attributes:
        generation: The accepted configuration generation.
        members: The registered members.
        pools: The active pools.
        leaving_vms: The VMs that records mark as leaving.
    """

    generation: int
    members: list[MemberStatus]
    pools: list[PoolStatus]
    leaving_vms: list[str]


async def read_snapshot(store: Store) -> ConfigSnapshot:
    """Returns the accepted configuration.

    Raises:
        StoreError: The store failed.
    """
    head, _ = await acceptedconfig.read_head(store)
    items: list[Record] = []
    for name in filter(None, head.chunks):
        chunk = await acceptedconfig.read_chunk(store, name)
        items += acceptedconfig.unpack_chunk(chunk)
    return acceptedconfig.make_snapshot(head.generation, items)


async def read_status(store: Store) -> FleetStatus:
    """Returns the state of the deployment.

    Raises:
        StoreError: The store failed.
    """
    snapshot = await read_snapshot(store)
    listing = await store.scan(keys.MEMBERS)
    members = [codec.decode(entry.value, Member) for entry in listing.entries]
    leaving = sorted(h for h, vm in snapshot.vms.items() if vm.leaving)
    return FleetStatus(
        snapshot.generation,
        await _read_generations(members),
        _pool_statuses(snapshot, members, leaving),
        leaving,
    )


async def get_record(store: Store, key: str) -> RecordState:
    """Returns a record with its state.

    Args:
        store: The platform's store.
        key: The record's key, `kind/name`.

    Raises:
        RecordError: The record does not exist.
        StoreError: The store failed.
    """
    entry = await store.get(keys.RECORDS + key)
    if entry is None:
        raise RecordError(key, "name", key, "a record that exists")
    record = records.parse(entry.value, key)
    status = await store.get(keys.STATUS + key)
    if status is not None:
        judgement = orjson.loads(status.value)
        if judgement["revision"] == entry.revision:
            error = judgement["error"]
            return RecordState(record, entry.revision, "rejected", error)
    in_force = (await read_snapshot(store)).records.get(key)
    is_same = in_force is not None and in_force.raw == entry.value
    state = "in force" if is_same else "pending"
    return RecordState(record, entry.revision, state)


async def set_leaving(store: Store, host: str, leaving: bool) -> None:
    """Marks a VM as leaving, or as no longer leaving.

    Raises:
        ConflictError: Another operator changed the mark first.
        StoreError: The store failed.
    """
    record = Record("vm", host, records.CURRENT_SCHEMA, {"leaving": leaving})
    records.check(record)
    current = await store.get(keys.record("vm", host))
    await ctl.write_record(store, record, current.revision if current else 0)


def _pool_statuses(
    snapshot: ConfigSnapshot, members: list[Member], leaving: list[str]
) -> list[PoolStatus]:
    brokers = [
        m.name
        for m in members
        if m.role is Role.BROKER and m.state is MemberState.SERVING
    ]
    return [
        PoolStatus(
            name,
            rendezvous.owner(name, brokers) or "",
            len(spec.endpoints),
            sum(e.address.partition(":")[0] in leaving for e in spec.endpoints),
        )
        for name, spec in sorted(snapshot.pools.items())
    ]


async def _read_generations(members: list[Member]) -> list[MemberStatus]:
    generations: dict[str, int | None] = {}
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_READS)
    async with httpx.AsyncClient(timeout=READ_TIMEOUT_S) as client:

        async def read(member: Member) -> None:
            async with limiter:
                generations[member.name] = await _read_generation(
                    client, member
                )

        async with anyio.create_task_group() as tasks:
            for member in members:
                tasks.start_soon(read, member)
    return [MemberStatus(m, generations[m.name]) for m in members]


async def _read_generation(
    client: httpx.AsyncClient, member: Member
) -> int | None:
    try:
        response = await client.get(f"http://{member.http}/readyz")
        return int(orjson.loads(response.content)["generation"])
    except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
        events.PEER_SILENT.log(peer=member.http, error=repr(error))
        return None
