"""Divides the endpoints of a service by their distance from the entry."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy.routing import views

NEAR_LATENCY_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Zones:
    """Members of a service that may hold a model.

    Attributes:
        members: All of them.
        near: Those within `NEAR_LATENCY_S`; all where none is.
        far: The others.
    """

    members: tuple[views.Member, ...]
    near: tuple[views.Member, ...]
    far: tuple[views.Member, ...]


class ZoneCache:
    """Keeps the zones until the members change."""

    def __init__(self) -> None:
        self._zones: dict[str, dict[str, Zones]] = {}

    def get_zones(self, service: str, model: str, fleet: views.Fleet) -> Zones:
        """Returns the zones of a service for a model."""
        members = fleet.list_members(service, model)
        by_model = self._zones.setdefault(service, {})
        zones = by_model.get(model)
        if zones is None or zones.members is not members:
            near = tuple(m for m in members if m.latency_s <= NEAR_LATENCY_S)
            far = tuple(m for m in members if m.latency_s > NEAR_LATENCY_S)
            zones = Zones(members, near or far, far if near else ())
            if len(by_model) >= views.MAX_CACHED_MODELS:
                by_model.clear()
            by_model[model] = zones
        return zones
