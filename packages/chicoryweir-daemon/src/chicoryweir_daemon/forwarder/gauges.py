"""Gauges of a forwarding process."""

from __future__ import annotations

from chicoryweir_daemon.forwarder import evacuationreports
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import metrics_registry
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import connections
from chicoryweir_daemon.http1 import memory


def register_gauges(
    metrics: metrics_registry.MetricsRegistry,
    fleet: fleets.Fleet,
    pool: connections.Pool,
    account: memory.Account,
    caller_connections: set[callers.CallerConnection],
) -> None:
    """Registers all gauges of the process.

    Args:
        metrics: Registry that they are added to.
        fleet: State of the entry.
        pool: Connections to endpoints.
        account: Account of the memory that messages use.
        caller_connections: Open connections of callers.
    """
    cold_endpoints = fleet.cold_endpoints
    metrics.register_gauge(
        "cold_endpoints",
        lambda: cold_endpoints.count_cold(
            fleet.endpoints.list_current(), fleet.clock.read()
        ),
    )
    metrics.register_gauge("cold_held_back_requests", lambda: cold_endpoints.held_back)
    metrics.register_gauge("caller_connections", lambda: len(caller_connections))
    metrics.register_gauge("held_bytes", lambda: account.used_bytes)
    metrics.register_gauge("opened_connections", lambda: pool.opened)
    metrics.register_gauge("idle_connections", lambda: pool.count_idle())
    metrics.register_gauge("configuration_version", lambda: fleet.version)
    metrics.register_gauge(
        "held_prompt_parts", lambda: fleet.crashes.parts.count_held()
    )
    evacuationreports.register_gauges(fleet, metrics)
    metrics.register_gauge(
        "waiting_requests",
        lambda: sum(len(d) for _, d in fleet.list_dispatchers()),
    )
