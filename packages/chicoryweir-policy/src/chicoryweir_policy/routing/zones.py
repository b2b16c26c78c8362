"""Splits the endpoints of a service into near and far by latency."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy.routing import views

NEAR_LATENCY_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Zones:
    """Endpoints of a service that may have a model loaded.

    Attributes:
        members: All endpoints.
        near: Endpoints within `NEAR_LATENCY_S`, or all if there are none.
        far: The other endpoints.
    """

    members: tuple[views.Member, ...]
    near: tuple[views.Member, ...]
    far: tuple[views.Member, ...]


class ZoneCache:
    """Caches the zones until the members of the service change."""

    def __init__(self) -> None:
        self._zones: dict[str, dict[str, Zones]] = {}

    def get_zones(self, service: str, model: str, fleet: views.Fleet) -> Zones:
        """Returns the zones of a service for a model."""
        members = fleet.list_members(service, model)
        by_model = self._zones.setdefault(service, {})
        zones = by_model.get(model)
        if zones is None or zones.members is not members:
            near = tuple(
                member for member in members if member.latency_s <= NEAR_LATENCY_S
            )
            far = tuple(
                member for member in members if member.latency_s > NEAR_LATENCY_S
            )
            zones = Zones(members, near or far, far if near else ())
            if len(by_model) >= views.MAX_CACHED_MODELS:
                by_model.clear()
            by_model[model] = zones
        return zones
