"""Places that an entry knows from the instances."""

from __future__ import annotations

from chicoryweir_cli import rendering
from chicoryweir_policy import store
from chicoryweir_policy.settings import evacuation

STATUS_URL = "/operator/status"


def list_known(status: dict[str, store.Json]) -> list[evacuation.Place]:
    """Returns the places with instances in an entry's status."""
    return [
        evacuation.Place(str(item.get("place")), item.get("has_endpoints") is True)
        for item in rendering.list_items(status, "places")
        if isinstance(item, dict)
        and (item.get("has_endpoints") is True or item.get("has_entries") is True)
    ]
