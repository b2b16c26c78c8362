"""Evacuated places, as an entry knows them from its settings and its peers."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy.cores.entry import peers
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.membership import instances
from chicoryweir_policy.settings import evacuation


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceStatus:
    """State of a place.

    Attributes:
        place: A place that the settings name or an instance is in.
        evacuated: Whether the settings in force evacuate it.
        has_entries: Whether an entry is known to be in it.
        has_endpoints: Whether an agent is known to be in it.
        linked_endpoints: Number of its agents that are linked to this entry.
        running_requests: Number of attempts of all entries that run or wait at these
            agents.
    """

    place: str
    evacuated: bool
    has_entries: bool
    has_endpoints: bool
    linked_endpoints: int
    running_requests: int


class Evacuations:
    """Keeps new attempts away from the endpoints of evacuated places."""

    def __init__(self, state: entry_state.EntryState, known: peers.Peers) -> None:
        self._state = state
        self._peers = known
        self._settings_version = 0

    def apply_settings(self) -> None:
        """Updates the endpoints' views if another version of the settings is in force.

        Must run between the adoption of a version and the next selection.
        """
        tree = self._state.settings.tree
        version = self._state.settings.version
        if tree is None or version == self._settings_version:
            return
        self._settings_version = version
        self._state.loads.set_evacuations(
            lambda place: evacuation.is_evacuated(tree, place)
        )

    def list_places(self) -> list[PlaceStatus]:
        """Returns the state of all known places, by name."""
        tree = self._state.settings.tree
        named = evacuation.list_named(tree) if tree is not None else ()
        with_agents = self._peers.list_data_centres(instances.Role.AGENT)
        with_entries = self._peers.list_data_centres(instances.Role.ENTRY)
        linked: dict[str, int] = {}
        running: dict[str, int] = {}
        for name in self._state.agent_links:
            view = self._state.loads.get_view(name)
            if view is None:
                continue
            place = view.data_centre
            linked[place] = linked.get(place, 0) + 1
            attempts = view.reported_attempts + view.own_attempts
            if view.reported_at is not None:
                running[place] = running.get(place, 0) + attempts
        places = with_agents.union(with_entries, named, linked)
        return [
            PlaceStatus(
                place,
                tree is not None and evacuation.is_evacuated(tree, place),
                place in with_entries,
                place in with_agents or place in linked,
                linked.get(place, 0),
                running.get(place, 0),
            )
            for place in sorted(places)
        ]
