"""Generates the faults of a run from its seed."""

from __future__ import annotations

import dataclasses
import enum
import random


class Kind(enum.Enum):
    """Kinds of faults.

    Attributes:
        KILL: A process is killed; the launcher restarts it.
        PAUSE: A process is paused, then resumed.
        DRAIN: A daemon is asked to stop gracefully; the launcher restarts it.
        STALL: An engine's steps stop for a while.
        OUTAGE: The platform is unavailable for a while.
        LOST_REPLIES: The platform loses replies to writes for a while.
        DELAY: The platform answers slowly for a while.
        RACE: Operators apply conflicting changes concurrently.
        POISON: A caller repeatedly sends a request that crashes any endpoint.
        FLOOD: Requests of one priority class flood the fleet.
    """

    KILL = "kill"
    PAUSE = "pause"
    DRAIN = "drain"
    STALL = "stall"
    OUTAGE = "outage"
    LOST_REPLIES = "lost_replies"
    DELAY = "delay"
    RACE = "race"
    POISON = "poison"
    FLOOD = "flood"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One scheduled fault.

    Attributes:
        at_s: Time after the start of the run.
        kind: Kind of the fault.
        target: Affected process or priority class, or an empty string.
        duration_s: Duration; 0 for an instantaneous fault.
        amount: Share of lost replies (0 to 1), delay in milliseconds, or 1 for an
            outage.
    """

    at_s: float
    kind: Kind
    target: str = ""
    duration_s: float = 0.0
    amount: float = 0.0

    def describe(self) -> str:
        """Returns a line for the log of the run."""
        parts = [f"{self.at_s:7.2f} s", self.kind.value, self.target]
        if self.duration_s:
            parts.append(f"for {self.duration_s:.2f} s")
        if self.amount:
            parts.append(f"amount {self.amount:.2f}")
        return " ".join(part for part in parts if part)


_MEAN_GAP_S = 2.0
_FIRST_FAULT_AFTER_S = 1.0
_MAX_DURATION_S = 6.0
_FLOOD_CLASSES = ("bulk", "urgent")


def draw_faults(
    seed: int, seconds: float, daemons: list[str], endpoints: list[str]
) -> list[Fault]:
    """Generates faults that start within the first `seconds` of the run."""
    rng = random.Random(seed)
    faults = []
    at_s = _FIRST_FAULT_AFTER_S + rng.expovariate(1 / _MEAN_GAP_S)
    while at_s < seconds:
        faults.append(_draw_fault(rng, at_s, daemons, endpoints))
        if rng.random() < 0.2:
            # Some faults start at the same time.
            faults.append(_draw_fault(rng, at_s, daemons, endpoints))
        at_s += rng.expovariate(1 / _MEAN_GAP_S)
    return faults


def _draw_fault(
    rng: random.Random, at_s: float, daemons: list[str], endpoints: list[str]
) -> Fault:
    kind = rng.choice(list(Kind))
    duration_s = rng.uniform(0.3, _MAX_DURATION_S)
    match kind:
        case Kind.KILL:
            return Fault(at_s, kind, rng.choice(daemons + endpoints))
        case Kind.DRAIN:
            return Fault(at_s, kind, rng.choice(daemons))
        case Kind.PAUSE:
            return Fault(at_s, kind, rng.choice(daemons + endpoints), duration_s)
        case Kind.STALL:
            return Fault(at_s, kind, rng.choice(endpoints), duration_s)
        case Kind.OUTAGE:
            return Fault(at_s, kind, "platform", duration_s, 1.0)
        case Kind.LOST_REPLIES:
            share = rng.uniform(0.1, 0.9)
            return Fault(at_s, kind, "platform", duration_s, share)
        case Kind.DELAY:
            delay_ms = rng.uniform(50.0, 1500.0)
            return Fault(at_s, kind, "platform", duration_s, delay_ms)
        case Kind.FLOOD:
            return Fault(at_s, kind, rng.choice(_FLOOD_CLASSES), duration_s)
        case Kind.RACE | Kind.POISON:
            return Fault(at_s, kind)
