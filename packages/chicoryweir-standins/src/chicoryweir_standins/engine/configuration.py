"""Configuration of the engine's stand-in."""

from __future__ import annotations

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class GroupConfig:
    """The engine's part in a lock-step group.

    Attributes:
        group: Name of the group.
        rank: Rank of this engine.
        barrier_url: Websocket of the group's barrier.
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
        slots: Requests that run at once.
        step_time_ms: Time of one step.
        prefill_tokens_per_step: Prompt tokens that one step takes in.
        prefix_cache_blocks: Blocks that the prefix cache holds.
        load_lag_ms: Age of the load that is reported.
        event_lag_ms: Age at which cache events are published.
        event_gap_share: Share of cache events that are never published (0 to 1).
        checks_fencing: Whether orders with an old fence are refused.
        order_ms: Time that an order takes.
        switchboard_url: Where runs are reported; empty for nowhere.
        seed: Seed of gaps and of the drift of popularity.
        group: Part in a lock-step group, or None.
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


def parse_config(tree: dict[str, typing.Any]) -> EngineConfig:
    """Returns the configuration held by a JSON document."""
    members = dict(tree)
    members["models"] = tuple(members.get("models", ("kakheti-1",)))
    group = members.get("group")
    if group is not None:
        members["group"] = GroupConfig(**group)
    return EngineConfig(**members)
