"""Plans the processes of a fleet and their configuration."""

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
    """Numbers of processes of a fleet, and the speed of its endpoints.

    Attributes:
        entries: Number of entry daemons.
        engines: Number of model engines, each with its own agent.
        services: Number of plain services, each with its own agent.
        slots: Maximum number of requests that an engine runs concurrently.
        step_time_ms: Time of a step of an engine.
        service_run_ms: Duration of a call of a plain service.
        has_group: Whether the engines form one lock-step group.
        checks_fencing: Whether the engines reject orders with stale fencing tokens.
        list_lag_s: Lag of the platform's instance list.
        seed: Seed of the stand-ins.
        data_centres: Names of data centres, assigned to instances round-robin.
        model_service: Name of the model engines' service.
        plain_service: Name of the plain services' service.
        shares_engine: Whether all agents of engines use the first engine, so that a
            fleet of many agents needs few processes.
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
    """One process of a fleet.

    Attributes:
        name: Instance name.
        kind: platform, switchboard, engine, service, agent or entry.
        config: Configuration document of the process.
        listing: Row of the process in the platform's instance list, or None.
    """

    name: str
    kind: str
    config: Json
    listing: Json | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """The processes of a fleet and the addresses that they use.

    Attributes:
        processes: Processes in start order.
        platform_url: Base URL of the platform.
        switchboard_url: Base URL of the switchboard.
        entry_urls: Base URLs of the entries.
        settings: Initial settings tree of the fleet.
        keys: Secrets of the fleet.
        size: Size of the fleet.
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
    """Returns the initial settings tree of a fleet.

    Args:
        size: Size of the fleet; it names the services.
        keys: Secrets of the fleet; the tree holds their digests.
        workspaces: Names of further workspaces, which have no key.
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
        port_count = 2 + 2 * size.entries + 2 * agents
        free_ports = iter(ports.pick_ports(port_count))
        self._platform_port = next(free_ports)
        self._switchboard_port = next(free_ports)
        self._entry_ports = [
            (next(free_ports), next(free_ports)) for _ in range(size.entries)
        ]
        self._agent_ports = [
            (next(free_ports), next(free_ports)) for _ in range(agents)
        ]
        self._platform_url = _build_url(self._platform_port)
        self._switchboard_url = _build_url(self._switchboard_port)

    def plan(self, settings: Json) -> FleetPlan:
        endpoints = [
            self._plan_endpoint(i)
            for i in range(len(self._agent_ports))
            if self._get_endpoint_index(i) == i
        ]
        agents = [self._plan_agent(i) for i in range(len(self._agent_ports))]
        entries = [self._plan_entry(i) for i in range(len(self._entry_ports))]
        infrastructure = [self._plan_platform(), self._plan_switchboard(endpoints)]
        return FleetPlan(
            processes=(*infrastructure, *endpoints, *agents, *entries),
            platform_url=self._platform_url,
            switchboard_url=self._switchboard_url,
            entry_urls=tuple(_build_url(port) for port, _ in self._entry_ports),
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
        endpoint_urls = {e.name: _build_url(e.config["port"]) for e in endpoints}
        config = {
            "ip": ports.LOOPBACK,
            "port": self._switchboard_port,
            "platform_url": self._platform_url,
            "endpoint_urls": endpoint_urls,
        }
        return Process("switchboard", "switchboard", config)

    def _plan_endpoint(self, index: int) -> Process:
        port = self._agent_ports[index][0]
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
            config["group"] = self._build_group_config(index)
        return Process(name, "engine", config)

    def _get_endpoint_index(self, index: int) -> int:
        shared = self._size.shares_engine and index < self._size.engines
        return 0 if shared else index

    def _build_group_config(self, index: int) -> Json:
        barrier_url = self._switchboard_url.replace("http://", "ws://") + "/barrier"
        return {"group": GROUP, "rank": index, "barrier_url": barrier_url}

    def _plan_agent(self, index: int) -> Process:
        port = self._agent_ports[self._get_endpoint_index(index)][0]
        link_port = self._agent_ports[index][1]
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
            **self._build_daemon_config(f"agent-{index + 1}", index, link_port),
            "service": self._select_service(is_model),
            "endpoint": endpoint,
        }
        return Process(
            config["instance"], "agent", config, self._build_agent_row(index)
        )

    def _plan_entry(self, index: int) -> Process:
        port, link_port = self._entry_ports[index]
        config = self._build_daemon_config(f"entry-{index + 1}", index, link_port)
        config["listen"] = {"ip": ports.LOOPBACK, "port": port}
        return Process(
            config["instance"], "entry", config, self._build_entry_row(index)
        )

    def _build_daemon_config(self, name: str, index: int, link_port: int) -> Json:
        seeds = [self._build_agent_row(i) for i in range(len(self._agent_ports))]
        seeds += [self._build_entry_row(i) for i in range(len(self._entry_ports))]
        return {
            "instance": name,
            "place": self._select_data_centre(index),
            "link": {"ip": ports.LOOPBACK, "port": link_port},
            "platform_url": self._platform_url,
            "cluster_secret": self._keys.cluster,
            "seeds": [_remove_state(seed) for seed in seeds],
        }

    def _build_agent_row(self, index: int) -> Json:
        is_model = index < self._size.engines
        return {
            "instance": f"agent-{index + 1}",
            "role": "agent",
            "place": self._select_data_centre(index),
            "service": self._select_service(is_model),
            "ip": ports.LOOPBACK,
            "port": 0,
            "link_port": self._agent_ports[index][1],
            "state": "live",
        }

    def _build_entry_row(self, index: int) -> Json:
        return {
            "instance": f"entry-{index + 1}",
            "role": "entry",
            "place": self._select_data_centre(index),
            "service": "",
            "ip": ports.LOOPBACK,
            "port": self._entry_ports[index][0],
            "link_port": self._entry_ports[index][1],
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


def _remove_state(listing: Json) -> Json:
    return {name: value for name, value in listing.items() if name != "state"}
