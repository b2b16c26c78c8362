"""Tests of the findings about configurations."""

import dataclasses
import typing

import hypothesis
from hypothesis import strategies as st
import pytest

from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import configurationcheck
from chicoryweir_policy.forwarding import routes

Share = configuration.ServiceShare
Workspace = configuration.Workspace
IDEMPOTENT, ONCE, STREAM = configuration.RouteKind
ONE = (Share("s", 1.0),)
SECRETS = ("secret", "secret")
ROUTE = configuration.Route(
    "r", "h", "/r/", IDEMPOTENT, False, 8.0, 0.5, 0.0, 1, 2, False, ONE
)
EXPERTS = configuration.ExpertLayout(3, 72, 9, 2, 1e6, 0.5)
ENGINE = configuration.Engine(5, 900, 0.005, 0, 0, 1, 1, 800, 100, 1, EXPERTS)
CONFIG = configuration.Configuration(
    version=1,
    routes=(ROUTE,),
    services=(configuration.Service("s", 9, ENGINE),),
    workspaces=(Workspace("w", ("key",), 1),),
    limits=configuration.Limits(max_body_bytes=100),
)
# Changes of the route, and of the engine or its experts, with what is found; errors
# have an exclamation mark.
ROUTES: list[tuple[dict[str, typing.Any], str]] = [
    ({"prefix": "r/"}, "!prefix"),
    ({"prefix": "/r"}, "!prefix"),
    ({"prefix": "/r?/"}, "!prefix"),
    ({"host": "h:80"}, "!host"),
    ({"host": ""}, "!host"),
    ({"shares": (Share("t", 1.0),)}, "!shares name"),
    ({"shares": (Share("s", 0.0), Share("s", 0.0))}, "!shares shares"),
    ({"shares": (Share("s", 0.0),)}, ""),
    ({"timeout_s": 0.0}, "!timeout_s"),
    ({"objective_s": 8.1}, "objective_s"),
    ({"kind": ONCE}, "max_attempts"),
    ({"kind": STREAM}, "max_attempts"),
    ({"kind": STREAM, "resumable": True, "max_attempts": 1}, "resumable"),
    ({"resumable": True}, "resumable"),
    ({"kind": STREAM, "resumable": True, "max_gap_s": 9.0}, "max_gap_s"),
    ({"max_gap_s": 1.0}, "max_gap_s"),
    ({"priority": 10}, "priority"),
]
ENGINES: list[dict[str, typing.Any]] = [
    {"usual_answer_tokens": 101.0},
    {"experts": dataclasses.replace(EXPERTS, max_copies_per_rank=10)},
]
PARTS: list[tuple[dict[str, typing.Any], str]] = [
    ({}, ""),
    ({"limits": configuration.Limits(max_header_bytes=99, max_body_bytes=9)}, ""),
    (
        {"limits": configuration.Limits(0, 0, 0, 0)},
        "!max_header_bytes !header_timeout_s max_body_bytes idle_timeout_s",
    ),
    ({"workspaces": ()}, "!public"),
    (
        {"workspaces": (Workspace("w", SECRETS, 1), Workspace("w", SECRETS, 10))},
        "!keys keys name priority",
    ),
    ({"routes": (ROUTE, ROUTE)}, "!prefix name"),
]


@pytest.mark.parametrize(
    ("config", "expected"),
    [
        *((dataclasses.replace(CONFIG, **changes), found) for changes, found in PARTS),
        *(
            (dataclasses.replace(CONFIG, routes=(dataclasses.replace(ROUTE, **c),)), f)
            for c, f in ROUTES
        ),
        *(
            (
                dataclasses.replace(
                    CONFIG,
                    services=(
                        configuration.Service("s", 9, dataclasses.replace(ENGINE, **c)),
                    ),
                ),
                "engine",
            )
            for c in ENGINES
        ),
    ],
)
def test_finding_names_the_attribute(
    config: configuration.Configuration, expected: str
) -> None:
    found = configurationcheck.find_all(config)
    assert {("!" if item.is_error else "") + item.field for item in found} == set(
        expected.split()
    )
    assert "secret" not in str(found)


random_routes = st.lists(
    st.builds(
        dataclasses.replace,
        st.just(ROUTE),
        host=st.sampled_from(["h", "g", "h:1", ""]),
        prefix=st.sampled_from(["/a/", "/a/b/", "/", "/a", "b/", "/a?/"]),
    ),
    max_size=6,
)


@hypothesis.given(random_routes)
def test_exactly_the_routes_that_are_reported_never_match(
    found_routes: list[configuration.Route],
) -> None:
    config = dataclasses.replace(CONFIG, routes=tuple(found_routes), workspaces=None)
    unmatched = {
        finding.index
        for finding in configurationcheck.find_all(config)
        if "never matches" in finding.detail
    }
    table = routes.RouteTable(config)
    for index, route in enumerate(found_routes):
        # A caller's host has no port; its path begins with a slash and ends before a
        # question mark.
        host = route.host.partition(":")[0]
        path = "/" + route.prefix.lstrip("/").partition("?")[0]
        resolved = table.resolve(host, path.encode(), None, "id") if host else None
        is_found = isinstance(resolved, routes.Routed) and resolved.route is route
        assert is_found == (index not in unmatched)
