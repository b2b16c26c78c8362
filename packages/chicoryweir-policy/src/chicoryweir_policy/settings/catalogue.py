"""Catalogue of the settings that operators can write, with types and ranges."""

from __future__ import annotations

import dataclasses

MAX_DURATION_MS = 86_400_000
MAX_TOKENS = 1_000_000_000
MAX_SIZE_BYTES = 1 << 30


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """A setting and its allowed values.

    Attributes:
        name: Key under `settings` in a node of the tree.
        is_integer: Whether the value must be an integer.
        minimum: Smallest allowed value.
        maximum: Largest allowed value.
        unit: Unit of the value, or an empty string for a ratio or a count.
        nullable: Whether null is allowed; it disables the limit.
        summary: Effect of the setting, in one line.
        is_flag: Whether the value must be true or false.
        level: The only level of the tree whose nodes may set it; None for every node.
    """

    name: str
    is_integer: bool
    minimum: float
    maximum: float
    unit: str
    nullable: bool
    summary: str
    is_flag: bool = False
    level: str | None = None

    def describe_allowed(self) -> str:
        """Describes the allowed values in a phrase that is shown to operators."""
        level = f", at {self.level} only" if self.level is not None else ""
        if self.is_flag:
            return f"true or false{level}"
        kind = "a whole number" if self.is_integer else "a number"
        unit = f" {self.unit}" if self.unit else ""
        null = ", or null" if self.nullable else ""
        low, high = _format_bound(self.minimum), _format_bound(self.maximum)
        return f"{kind} from {low} to {high}{unit}{null}{level}"


def _format_bound(bound: float) -> str:
    return str(int(bound)) if bound == int(bound) else f"{bound:g}"


def _integer_setting(
    name: str, low: int, high: int, summary: str, unit: str = "", null: bool = False
) -> Setting:
    return Setting(name, True, low, high, unit, null, summary)


def _number_setting(
    name: str, low: float, high: float, summary: str, unit: str = "", null: bool = False
) -> Setting:
    return Setting(name, False, low, high, unit, null, summary)


def _flag_setting(name: str, summary: str, level: str) -> Setting:
    return Setting(name, False, 0, 1, "", False, summary, is_flag=True, level=level)


SETTINGS: tuple[Setting, ...] = (
    _integer_setting(
        "deadline_ms", 1, MAX_DURATION_MS, "Deadline without X-Deadline-Ms", "ms"
    ),
    _number_setting("weight", 0.001, 1000.0, "Weight of a workspace in its class"),
    _number_setting(
        "rate_tokens_per_s", 0.001, MAX_TOKENS, "Rate limit", "tokens/s", null=True
    ),
    _number_setting(
        "burst_tokens", 0.0, MAX_TOKENS, "Burst above the rate limit", "tokens"
    ),
    _integer_setting(
        "max_inflight", 1, 1_000_000, "Requests in flight at once", null=True
    ),
    _number_setting(
        "floor_share", 0.0, 1.0, "Share of capacity a class keeps in a flood"
    ),
    _integer_setting(
        "max_request_bytes", 1, MAX_SIZE_BYTES, "Longest request body", "bytes"
    ),
    _integer_setting(
        "max_answer_bytes", 1, MAX_SIZE_BYTES, "Longest answer body", "bytes"
    ),
    _integer_setting(
        "max_header_bytes", 256, 1 << 20, "Longest request header", "bytes"
    ),
    _integer_setting(
        "max_attempts", 1, 10, "Attempts for one request, the first included"
    ),
    _number_setting("retry_ratio", 0.0, 1.0, "Retries allowed for each request sent"),
    _integer_setting(
        "hedge_after_ms", 1, MAX_DURATION_MS, "Wait before a hedge", "ms", null=True
    ),
    _integer_setting(
        "spill_wait_ms", 0, MAX_DURATION_MS, "Queueing delay that spills over", "ms"
    ),
    _integer_setting("queue_limit", 0, 1_000_000, "Requests waiting at one endpoint"),
    _integer_setting(
        "drain_timeout_ms", 0, MAX_DURATION_MS, "Time a drain gives requests", "ms"
    ),
    _integer_setting(
        "quarantine_losses", 1, 100, "Endpoints lost before a request is refused"
    ),
    _number_setting(
        "max_ejected_share", 0.0, 1.0, "Largest share of endpoints set aside"
    ),
    _number_setting(
        "map_gain_min", 0.0, 1.0, "Least gain in skew for a new expert map"
    ),
    _number_setting(
        "map_keep_s", 0.0, 86_400.0, "Time an expert map is kept at the least", "s"
    ),
    _flag_setting("evacuated", "Endpoints get no new requests", "places"),
)

SETTINGS_BY_NAME: dict[str, Setting] = {setting.name: setting for setting in SETTINGS}
