"""Tests of which way a service gets."""

import pytest

from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import ways


def make_route(number, priority, kind=configuration.RouteKind.STREAM, service="s"):
    return configuration.Route(
        name=f"r{number}",
        host="h",
        prefix=f"/{number}/",
        kind=kind,
        resumable=False,
        timeout_s=8.0,
        objective_s=0.5,
        max_gap_s=0.1,
        priority=priority,
        max_attempts=2,
        public=False,
        shares=(configuration.ServiceShare(service, 1.0),),
    )


ALIKE = [make_route(1, 1), make_route(2, 1)]
CALL = configuration.RouteKind.IDEMPOTENT


# Guards against a deployment with classes of its own that is served in another way.
@pytest.mark.parametrize(
    ("way", "routes", "chosen"),
    [
        ("by_priority", ALIKE, "least_cost"),
        ("by_priority", [*ALIKE, make_route(3, 0)], "objective_first"),
        ("by_priority", [*ALIKE, make_route(3, 0, service="t")], "least_cost"),
        ("by_priority", [*ALIKE, make_route(3, 2, kind=CALL)], "least_cost"),
        ("by_priority", ALIKE[:1], "objective_first"),
        ("by_priority", [], "objective_first"),
        ("objective_first", ALIKE, "objective_first"),
        ("least_cost", [], "least_cost"),
    ],
)
def test_way_follows_from_the_settings_and_the_routes(way, routes, chosen):
    assert ways.choose_way(ways.Way(way), "s", routes) is ways.Way(chosen)
