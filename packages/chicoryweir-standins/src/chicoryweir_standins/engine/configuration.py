"""Configuration of the engine's stand-in."""

from __future__ import annotations

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class GroupConfig:
    """Membership of the engine in a lock-step group.

    Attributes:
        group: Name of the group.
        rank: Rank of this engine.
        barrier_url: Websocket URL of the group's barrier.
    """

    group: str
    rank: int
    barrier_url: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineConfig:
    """Configuration of one engine.

    Attributes:
        instance: Name of the engine.
        ip: Address to listen on.
        port: Port to listen on.
        models: Models loaded at the start.
        slots: Maximum number of requests that run concurrently.
        step_time_ms: Time of one step.
        prefill_tokens_per_step: Prompt tokens that one step prefills.
        prefix_cache_blocks: Capacity of the prefix cache in blocks.
        load_lag_ms: Age of the reported load.
        event_lag_ms: Time after which a cache event is published.
        event_gap_share: Share of cache events that are never published (0 to 1).
        checks_fencing: Whether orders with a stale fencing token are rejected.
        order_ms: Duration of an order.
        switchboard_url: URL that runs are reported to; empty disables reports.
        seed: Seed of the gaps in cache events and of the experts drawn.
        group: Membership in a lock-step group, or None.
    """

    instance: str
    ip: str
    port: int
    models: tuple[str, ...] = ("kakheti-1",)
    slots: int = 16
    step_time_ms: float = 20.0
    prefill_tokens_per_step: int = 2048
    prefix_cache_blocks: int = 512
    load_lag_ms: float = 300.0
    event_lag_ms: float = 300.0
    event_gap_share: float = 0.05
    checks_fencing: bool = True
    order_ms: float = 50.0
    switchboard_url: str = ""
    seed: int = 1
    group: GroupConfig | None = None


def parse_config(document: dict[str, typing.Any]) -> EngineConfig:
    """Parses the configuration in a JSON document."""
    fields = dict(document)
    fields["models"] = tuple(fields.get("models", ("kakheti-1",)))
    group = fields.get("group")
    if group is not None:
        fields["group"] = GroupConfig(**group)
    return EngineConfig(**fields)
