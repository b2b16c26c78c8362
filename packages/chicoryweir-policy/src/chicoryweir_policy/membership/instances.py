"""Instances as the platform lists them."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One daemon's instance.

    Attributes:
        instance: Name.
        role: Role of the daemon on it.
        place: Data centre.
        service: Service of an agent's endpoint, or an empty string.
        ip: IP number.
        port: Port for callers, 0 for an agent.
        link_port: Port for links between daemons.
        leaving: Whether it is about to go.
    """

    instance: str
    role: messages.Role
    place: str
    service: str
    ip: str
    port: int
    link_port: int
    leaving: bool
