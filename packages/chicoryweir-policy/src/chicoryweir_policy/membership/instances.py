"""Instances as the platform's list names them."""

from __future__ import annotations

import dataclasses
import enum


class Role(enum.Enum):
    """What runs on an instance."""

    ENTRY = "entry"
    AGENT = "agent"


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """An instance of the fleet.

    Attributes:
        instance: Name, unique in the fleet.
        role: What runs on it.
        place: Data centre it stands in.
        service: Service its endpoint belongs to; empty for an entry.
        ip: IP number it is reached at.
        port: Port of its HTTP listener; 0 when it has none.
        link_port: Port on which it accepts links of other daemons.
        leaving: Whether the platform is about to stop it.
    """

    instance: str
    role: Role
    place: str
    service: str
    ip: str
    port: int
    link_port: int
    leaving: bool = False
