"""A small deployment with lock-step groups: store, ranks, agents and entries."""

import asyncio

from standins import clients
from standins import group as groups
from standins import harness
from standins import platform

DEADLINE_MS = 8000
SERVICE = "huvo11a"
MAP_EVENTS = {"lease_held", "lease_lost", "map_proposed", "map_changed"}


class GroupSystem:
    """The running deployment."""

    def __init__(self, record, system, ports, store, groups):
        self.record = record
        self.system = system
        self.ports = ports
        self.store = store
        self.groups = groups
        self.entries = []
        self.directory = None

    def find_holder(self):
        """Returns the entry that said last that it holds the lease, or None."""
        holder = None
        held_at = -1.0
        for entry in self.entries:
            for event in reversed(entry.events):
                if event["event"] in ("lease_held", "lease_lost"):
                    if event["event"] == "lease_held" and event["at"] > held_at:
                        holder, held_at = entry, event["at"]
                    break
        return holder

    async def ask(self, answer_tokens):
        """Sends one request; a client asks again once after a refusal."""
        result = None
        for _ in range(2):
            address = await self.directory.pick()
            attempt = clients.make_attempt_id()
            if address is None:
                return clients.Result(attempt)
            data = clients.build_request(
                "/lohu930/a",
                attempt,
                DEADLINE_MS,
                **clients.describe_prompt(answer_tokens=answer_tokens),
            )
            result = await clients.send(
                self.record, address, attempt, data, DEADLINE_MS
            )
            if result.complete and result.status == 200:
                break
            await asyncio.sleep(float(result.retry_after or 0.2))
        return result

    def judge(self):
        """Returns whether no pass began with two maps."""
        total = {
            name: sum(getattr(group, name) for group in self.groups)
            for name in ("passes", "switches", "orders", "late_orders")
        }
        broken = sum(len(group.violations) for group in self.groups)
        self.record.write(
            f"{total['passes']} passes, {total['switches']} with a switch, "
            f"{total['orders']} orders, {total['late_orders']} of them without an "
            f"answer, {broken} passes with more than one map"
        )
        if not total["switches"]:
            raise harness.CannotRun("no map was changed")
        return not broken

    @property
    def is_broken(self):
        """Whether a pass began with two maps."""
        return any(group.violations for group in self.groups)


async def start(record, system, entries, require_fencing, count=1, size=16):
    """Starts the deployment and waits until a lease is held."""
    system.logged = MAP_EVENTS | {"daemon_stopped", "drain_started"}
    ports = harness.Ports()
    store = platform.Store()
    store_address = f"127.0.4.1:{ports.store}"
    await store.start("127.0.4.1", ports.store)
    formed = []
    ranks = []
    for index in range(count):
        group = groups.Group(record, f"g0-{index}", size, require_fencing)
        hosts = [f"127.0.3.{index * size + number + 1}" for number in range(size)]
        await group.start(hosts, ports.app)
        formed.append(group)
        ranks += zip(group.ranks, hosts)
    for rank, _ in ranks:
        row = platform.build_registration(
            SERVICE,
            rank.address,
            1000 + rank.number,
            slots=groups.SLOTS,
            group={
                "name": rank.group.name,
                "epoch": 1,
                "rank": rank.number,
                "state": "open",
            },
            size=size,
        )
        store.put("servers", rank.instance, row)
    passes = [asyncio.create_task(group.run()) for group in formed]
    route = platform.build_route(
        "r-1",
        "/lohu930/",
        "stream",
        SERVICE,
        8000,
        stream_resume=True,
        gap_aim_ms=120,
        session_affinity=True,
    )
    engine = groups.ENGINE | {"experts": groups.EXPERTS_PER_RANK * size}
    service = platform.build_service(SERVICE, engine=engine)
    store.put("op", "config", platform.build_configuration([route], [service]))
    found = GroupSystem(record, system, ports, store, formed)
    found.passes = passes
    fencing = {"bounds__require_fencing": "true" if require_fencing else "false"}
    for rank, host in ranks:
        name = f"side-{rank.instance}"
        settings = harness.build_settings(
            ports,
            store_address,
            name,
            host,
            "agent",
            serves="side",
            app=rank.address,
            service=SERVICE,
            **fencing,
        )
        await system.start(name, "agent", host, settings)
    for number in range(1, entries + 1):
        host = f"127.0.2.{number}"
        name = f"front-{number}"
        settings = harness.build_settings(
            ports, store_address, name, host, "entry", **fencing
        )
        found.entries.append(await system.start(name, "entry", host, settings))
    for entry in found.entries:
        await harness.await_ready(entry, ports.ready)
    found.directory = clients.Directory(
        record, [entry.host for entry in found.entries], ports.directory
    )
    for _ in range(150):
        if found.find_holder() is not None:
            break
        await asyncio.sleep(0.1)
    else:
        raise harness.CannotRun("no entry holds the lease")
    record.write(f"{found.find_holder().name} holds the lease")
    return found
