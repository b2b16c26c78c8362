"""Settings of one forwarding process, loaded once and then only read."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Listener:
    """Host and port that a process listens on."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns host and port."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the surroundings set.

    Attributes:
        grace_s: Time from the request to stop until the process is killed, in seconds.
        budget_ratio: Repeats allowed for a request of a caller.
        budget_slack: Repeats allowed besides.
        budget_window_s: Window over which both are counted, in seconds.
        stall_s: Time for which endpoints stall when one that they need is lost.
        max_ttl_s: Longest time for which callers keep a resolved address.
    """

    grace_s: float
    budget_ratio: float
    budget_slack: float
    budget_window_s: float
    stall_s: float
    max_ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one process.

    Attributes:
        name: Name of the instance.
        host: Its IP address.
        data_centre: Its data centre.
        callers: Where callers connect.
        readiness: Where readiness is asked; None for nowhere.
        resolution: Where callers ask for addresses; None for nowhere.
        peer_port: UDP and TCP port for other entries.
        metrics_port: Port of the metrics.
        seeds: Hosts at which other entries may live.
        store: Host and port of the platform's store.
        heartbeat_s: Time between an endpoint's registrations, in seconds.
        bounds: Bounds that the surroundings set.
    """

    name: str
    host: str
    data_centre: str
    callers: Listener
    readiness: Listener | None
    resolution: Listener | None
    peer_port: int
    metrics_port: int
    seeds: tuple[str, ...]
    store: Listener
    heartbeat_s: float
    bounds: Bounds
