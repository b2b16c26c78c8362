"""Instances as listed by the platform."""

from __future__ import annotations

import dataclasses
import enum


class Role(enum.Enum):
    """Kind of daemon on an instance."""

    ENTRY = "entry"
    AGENT = "agent"


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """An instance of the fleet.

    Attributes:
        instance: Name, unique in the fleet.
        role: Kind of daemon on it.
        data_centre: Name of its data centre.
        service: Service of its endpoint; empty for an entry.
        ip: IP address.
        port: Port of its HTTP listener; 0 if it has none.
        link_port: Port on which it accepts links from other daemons.
        leaving: Whether the platform is about to stop it.
    """

    instance: str
    role: Role
    data_centre: str
    service: str
    ip: str
    port: int
    link_port: int
    leaving: bool = False
