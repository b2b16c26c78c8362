"""Evacuations by the operators of a simulation."""

from __future__ import annotations

from chicoryweir_policy import store
from chicoryweir_policy.settings import evacuation
from chicoryweir_standins.simulation import operators
from chicoryweir_standins.simulation import simulator


def make_edit(
    simulation: simulator.Simulation, place: str, evacuated: bool
) -> operators.Edit:
    """Returns the edit of `chicoryweir evacuate`; it leaves the last place as it is."""
    places = [
        evacuation.Place(node.data_centre, node.name in simulation.endpoints)
        for node in sorted(
            simulation.nodes.values(),
            key=lambda node: node.name in simulation.endpoints,
        )
    ]

    def edit(document: store.Json, number: int) -> store.Json:
        plan = evacuation.plan_change(document, place, evacuated, places)
        if isinstance(plan, evacuation.Changed):
            return plan.document
        return operators.change_weight(document, number)

    return edit
