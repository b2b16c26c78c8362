"""Plans which processes a fleet has, and their configuration."""

from __future__ import annotations

import dataclasses
import hashlib
import typing

from chicoryweir_standins.launch import ports

Json = dict[str, typing.Any]

MODEL = "kakheti-1"
MODEL_SERVICE = "model-desk"
PLAIN_SERVICE = "purchase-ledger"
GROUP = "desk-1"
EXPERT_COUNT = 128
SPARE_SLOTS_PER_RANK = 8
DATA_CENTRES = ("telavi", "gurjaani", "sighnaghi")


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSize:
    """How many processes a fleet has, and how fast its endpoints are.

    Attributes:
        entries: Entry daemons.
        engines: Model engines, each with an agent beside it.
        services: Plain services, each with an agent beside it.
        slots: Requests that an engine runs at once.
        step_time_ms: Time of a step of an engine.
        service_run_ms: Time of a call of the plain service.
        has_group: Whether the engines form one lock-step group.
        checks_fencing: Whether the engines refuse orders with old fences.
        list_lag_s: Lag of the platform's instance list.
        seed: Seed of the stand-ins.
        data_centres: Data centres; instances are spread over them in turn.
        model_service: Name of the model engines' service.
        plain_service: Name of the plain services' service.
        shares_engine: Whether all agents of engines stand before the first engine,
            so that a fleet of many agents needs few processes.
    """

    entries: int = 2
    engines: int = 3
    services: int = 1
    slots: int = 16
    step_time_ms: float = 20.0
    service_run_ms: float = 5.0
    has_group: bool = True
    checks_fencing: bool = True
    list_lag_s: float = 1.0
    seed: int = 1
    data_centres: tuple[str, ...] = DATA_CENTRES
    model_service: str = MODEL_SERVICE
    plain_service: str = PLAIN_SERVICE
    shares_engine: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """Secrets of one fleet."""

    caller: str
    operator: str
    cluster: str


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """A process to start.

    Attributes:
        name: Instance name.
        kind: platform, switchboard, engine, service, agent or entry.
        config: Its configuration document.
        listing: Its row in the platform's instance list, or None.
    """

    name: str
    kind: str
    config: Json
    listing: Json | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """The processes of a fleet and the addresses between them.

    Attributes:
        processes: Processes in the order of their start.
        platform_url: Base URL of the platform.
        switchboard_url: Base URL of the switchboard.
        entry_urls: Base URLs of the entries.
        settings: The settings tree that the fleet starts with.
        keys: Secrets of the fleet.
        size: Size that was planned for.
    """

    processes: tuple[Process, ...]
    platform_url: str
    switchboard_url: str
    entry_urls: tuple[str, ...]
    settings: Json
    keys: Keys
    size: FleetSize


def build_settings(
    size: FleetSize, keys: Keys, workspaces: tuple[str, ...] = ()
) -> Json:
    """Returns the settings tree that a fleet starts with.

    Args:
        size: Size of the fleet; it names the services.
        keys: Secrets of the fleet; the tree holds their digests.
        workspaces: Further workspaces, which have no key.
    """
    groups: Json = {}
    if size.has_group:
        groups[GROUP] = {
            "service": size.model_service,
            "ranks": size.engines,
            "experts": EXPERT_COUNT,
            "slots_per_rank": EXPERT_COUNT // size.engines + SPARE_SLOTS_PER_RANK,
        }
    return {
        "workspaces": {
            "relay": {"keys_sha256": [_digest(keys.caller)]},
            **{name: {"keys_sha256": []} for name in workspaces},
        },
        "operators": {"dato": {"keys_sha256": [_digest(keys.operator)]}},
        "services": {
            size.model_service: {"kind": "model", "models": [MODEL]},
            size.plain_service: {"kind": "plain"},
        },
        "groups": groups,
        "fleet": {"settings": {}, "places": {}},
    }


def plan_fleet(
    size: FleetSize, keys: Keys, workspaces: tuple[str, ...] = ()
) -> FleetPlan:
    """Plans a fleet on free loopback ports."""
    return _Planner(size, keys).plan(build_settings(size, keys, workspaces))


class _Planner:
    def __init__(self, size: FleetSize, keys: Keys) -> None:
        self._size = size
        self._keys = keys
        agents = size.engines + size.services
        needed = 2 + 2 * size.entries + 2 * agents
        free = iter(ports.pick_ports(needed))
        self._platform_port = next(free)
        self._switchboard_port = next(free)
        self._entries = [(next(free), next(free)) for _ in range(size.entries)]
        self._agents = [(next(free), next(free)) for _ in range(agents)]
        self._platform_url = _build_url(self._platform_port)
        self._switchboard_url = _build_url(self._switchboard_port)

    def plan(self, settings: Json) -> FleetPlan:
        endpoints = [
            self._plan_endpoint(i)
            for i in range(len(self._agents))
            if self._find_endpoint(i) == i
        ]
        agents = [self._plan_agent(i) for i in range(len(self._agents))]
        entries = [self._plan_entry(i) for i in range(len(self._entries))]
        front = [self._plan_platform(), self._plan_switchboard(endpoints)]
        return FleetPlan(
            processes=(*front, *endpoints, *agents, *entries),
            platform_url=self._platform_url,
            switchboard_url=self._switchboard_url,
            entry_urls=tuple(_build_url(port) for port, _ in self._entries),
            settings=settings,
            keys=self._keys,
            size=self._size,
        )

    def _plan_platform(self) -> Process:
        config = {
            "ip": ports.LOOPBACK,
            "port": self._platform_port,
            "seed": self._size.seed,
            "list_lag_s": self._size.list_lag_s,
        }
        return Process("platform", "platform", config)

    def _plan_switchboard(self, endpoints: list[Process]) -> Process:
        urls = {e.name: _build_url(e.config["port"]) for e in endpoints}
        config = {
            "ip": ports.LOOPBACK,
            "port": self._switchboard_port,
            "platform_url": self._platform_url,
            "endpoint_urls": urls,
        }
        return Process("switchboard", "switchboard", config)

    def _plan_endpoint(self, index: int) -> Process:
        port = self._agents[index][0]
        base = {
            "ip": ports.LOOPBACK,
            "port": port,
            "switchboard_url": self._switchboard_url,
        }
        if index >= self._size.engines:
            name = f"ledger-{index - self._size.engines + 1}"
            config = {**base, "instance": name, "service": self._size.plain_service}
            config["run_ms"] = self._size.service_run_ms
            return Process(name, "service", config)
        name = f"engine-{index + 1}"
        config = {
            **base,
            "instance": name,
            "models": [MODEL],
            "slots": self._size.slots,
            "step_time_ms": self._size.step_time_ms,
            "checks_fencing": self._size.checks_fencing,
            "seed": self._size.seed * 1000 + index,
        }
        if self._size.has_group:
            config["group"] = self._plan_group(index)
        return Process(name, "engine", config)

    def _find_endpoint(self, index: int) -> int:
        shared = self._size.shares_engine and index < self._size.engines
        return 0 if shared else index

    def _plan_group(self, index: int) -> Json:
        barrier = self._switchboard_url.replace("http://", "ws://") + "/barrier"
        return {"group": GROUP, "rank": index, "barrier_url": barrier}

    def _plan_agent(self, index: int) -> Process:
        port = self._agents[self._find_endpoint(index)][0]
        link = self._agents[index][1]
        is_model = index < self._size.engines
        endpoint: Json = {
            "kind": "model" if is_model else "plain",
            "url": _build_url(port),
            "checks_fencing": self._size.checks_fencing,
            "slots": self._size.slots,
        }
        if is_model and self._size.has_group:
            endpoint.update(group=GROUP, ranks=[index])
        config = {
            **self._plan_daemon(f"agent-{index + 1}", index, link),
            "service": self._select_service(is_model),
            "endpoint": endpoint,
        }
        return Process(config["instance"], "agent", config, self._list_agent(index))

    def _plan_entry(self, index: int) -> Process:
        port, link = self._entries[index]
        config = self._plan_daemon(f"entry-{index + 1}", index, link)
        config["listen"] = {"ip": ports.LOOPBACK, "port": port}
        return Process(config["instance"], "entry", config, self._list_entry(index))

    def _plan_daemon(self, name: str, index: int, link: int) -> Json:
        seeds = [self._list_agent(i) for i in range(len(self._agents))]
        seeds += [self._list_entry(i) for i in range(len(self._entries))]
        return {
            "instance": name,
            "place": self._select_data_centre(index),
            "link": {"ip": ports.LOOPBACK, "port": link},
            "platform_url": self._platform_url,
            "cluster_secret": self._keys.cluster,
            "seeds": [_drop_state(seed) for seed in seeds],
        }

    def _list_agent(self, index: int) -> Json:
        is_model = index < self._size.engines
        return {
            "instance": f"agent-{index + 1}",
            "role": "agent",
            "place": self._select_data_centre(index),
            "service": self._select_service(is_model),
            "ip": ports.LOOPBACK,
            "port": 0,
            "link_port": self._agents[index][1],
            "state": "live",
        }

    def _list_entry(self, index: int) -> Json:
        return {
            "instance": f"entry-{index + 1}",
            "role": "entry",
            "place": self._select_data_centre(index),
            "service": "",
            "ip": ports.LOOPBACK,
            "port": self._entries[index][0],
            "link_port": self._entries[index][1],
            "state": "live",
        }

    def _select_data_centre(self, index: int) -> str:
        return self._size.data_centres[index % len(self._size.data_centres)]

    def _select_service(self, is_model: bool) -> str:
        return self._size.model_service if is_model else self._size.plain_service


def _build_url(port: int) -> str:
    return f"http://{ports.LOOPBACK}:{port}"


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def _drop_state(listing: Json) -> Json:
    return {name: value for name, value in listing.items() if name != "state"}
