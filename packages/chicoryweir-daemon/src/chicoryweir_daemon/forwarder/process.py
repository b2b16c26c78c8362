"""Immutable settings of a forwarding process."""

from __future__ import annotations

import dataclasses

from chicoryweir_daemon.http1 import limits
from chicoryweir_policy.forwarding import ways

# Memory of a process whose settings state none.
DEFAULT_MEMORY_BYTES = 256 << 20


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
    """Limits that the platform sets.

    Attributes:
        grace_s: Time from the stop signal until the process is killed, in seconds.
        budget_ratio: Retries allowed per request of a caller.
        budget_slack: Additional retries allowed in each window, for all entries
            together.
        budget_window_s: Window over which requests and retries are counted, in
            seconds.
        stall_s: Time for which endpoints stall after the loss of one that they depend
            on, in seconds.
        max_ttl_s: Maximum time for which callers cache a resolved address, in seconds.
        drain_s: Time after which an endpoint that has registered that it is leaving
            gets no more requests, in seconds.
        evacuation_s: Time after which endpoints of an evacuated data centre get no more
            requests, in seconds; None if the deployment has no evacuations.
        cold_over: Factor by which the requests to a cold endpoint may exceed the rate
            of its service in any second.
        cold_slack: Number of requests by which they may exceed it in addition.
    """

    grace_s: float
    budget_ratio: float
    budget_slack: float
    budget_window_s: float
    stall_s: float
    max_ttl_s: float
    drain_s: float = 2.0
    evacuation_s: float | None = None
    cold_over: float = 1.0
    cold_slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one process.

    Attributes:
        name: Name of the instance.
        host: Its IP address.
        data_centre: Its data centre.
        callers: Listener for callers.
        readiness: Listener for readiness checks; None if there is none.
        resolution: Listener for address requests; None if there is none.
        peer_port: UDP and TCP port for other entries.
        metrics_port: TCP port for metrics.
        seeds: Hosts at which other entries may run.
        store: Host and port of the platform's store.
        heartbeat_s: Interval between an endpoint's registrations, in seconds.
        bounds: Limits that the platform sets.
        capacity: Size of the machine: its share of a processor, multiplied by that
            processor's speed and by the bandwidth of its link. Compared between
            entries only.
        memory_bytes: Memory that the process may use, in bytes.
        received: Limits on what callers, endpoints and the store may send.
        shedding: How it is decided who starts, waits and is rejected in a shortage.
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
    capacity: float = 0.0
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    received: limits.ReceivedLimits = limits.DEFAULT
    shedding: ways.Way = ways.Way.BY_PRIORITY
