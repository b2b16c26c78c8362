"""Draws the faults of a run from its seed."""

from __future__ import annotations

import dataclasses
import enum
import random


class Kind(enum.Enum):
    """What happens.

    Attributes:
        KILL: A process is killed; the launcher starts it again.
        PAUSE: A process is paused, then continued.
        DRAIN: A daemon is told to stop gracefully; it is started again.
        STALL: An engine's steps stop for a while.
        OUTAGE: The platform is out for a while.
        LOST_REPLIES: The platform loses replies to writes for a while.
        DELAY: The platform is slow for a while.
        RACE: Operators apply conflicting changes at one time.
        POISON: A request that crashes each endpoint that runs it is sent, again
            and again.
        FLOOD: One class floods in.
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
    """One fault.

    Attributes:
        at_s: Time after the start.
        kind: What happens.
        target: Process or priority class it concerns, or an empty string.
        duration_s: How long it lasts; 0 for what happens at once.
        amount: Share of lost replies (0 to 1), delay in milliseconds, or 1 for an
            outage.
    """

    at_s: float
    kind: Kind
    target: str = ""
    duration_s: float = 0.0
    amount: float = 0.0

    def describe(self) -> str:
        """Returns one line for the log of the run."""
        parts = [f"{self.at_s:7.2f} s", self.kind.value, self.target]
        if self.duration_s:
            parts.append(f"for {self.duration_s:.2f} s")
        if self.amount:
            parts.append(f"amount {self.amount:.2f}")
        return " ".join(part for part in parts if part)


_MEAN_GAP_S = 2.0
_FIRST_FAULT_AFTER_S = 1.0
_MAX_DURATION_S = 6.0
_CLASSES = ("bulk", "urgent")


def draw_faults(
    seed: int, seconds: float, daemons: list[str], endpoints: list[str]
) -> list[Fault]:
    """Draws the faults; they start within the first `seconds` of the run."""
    rng = random.Random(seed)
    faults = []
    at_s = _FIRST_FAULT_AFTER_S + rng.expovariate(1 / _MEAN_GAP_S)
    while at_s < seconds:
        faults.append(_draw_fault(rng, at_s, daemons, endpoints))
        if rng.random() < 0.2:
            # Faults also come together.
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
            return Fault(at_s, kind, rng.choice(_CLASSES), duration_s)
        case Kind.RACE | Kind.POISON:
            return Fault(at_s, kind)
