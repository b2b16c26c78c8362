"""Tests of the findings about configurations."""

import dataclasses
import typing

import hypothesis
from hypothesis import strategies as st
import pytest

from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import configurationcheck
from chicoryweir_policy.forwarding import configurationdifference
from chicoryweir_policy.forwarding import routes

Share = configuration.ServiceShare
KINDS = configuration.RouteKind
ROUTE = configuration.Route(
    name="r",
    host="h.example",
    prefix="/r/",
    kind=KINDS.IDEMPOTENT,
    resumable=False,
    timeout_s=8.0,
    objective_s=0.5,
    max_gap_s=0.0,
    priority=1,
    max_attempts=2,
    public=False,
    shares=(Share("s", 1.0),),
)
ENGINE = configuration.Engine(5, 900, 0.005, 0.0, 0.0, 1.0, 1, 800.0, 100.0, 1.0, None)
LAYOUT = configuration.ExpertLayout(3, 72, 9, 2, 1e6, 0.5)
CONFIG = configuration.Configuration(
    version=1,
    routes=(ROUTE,),
    services=(configuration.Service("s", 9, ENGINE),),
    workspaces=(configuration.Workspace("w", ("key",), 1),),
    limits=configuration.Limits(max_body_bytes=100),
)


def with_route(**changes: typing.Any) -> configuration.Configuration:
    return dataclasses.replace(CONFIG, routes=(dataclasses.replace(ROUTE, **changes),))


def with_workspaces(
    *workspaces: configuration.Workspace,
) -> configuration.Configuration:
    return dataclasses.replace(CONFIG, workspaces=workspaces)


def with_engine(**changes: typing.Any) -> configuration.Configuration:
    engine = dataclasses.replace(ENGINE, **changes)
    services = (configuration.Service("s", 9, engine),)
    return dataclasses.replace(CONFIG, services=services)


def with_limits(**changes: typing.Any) -> configuration.Configuration:
    return dataclasses.replace(CONFIG, limits=configuration.Limits(**changes))


@pytest.mark.parametrize(
    ("config", "expected"),
    [
        (CONFIG, set()),
        (with_limits(max_header_bytes=99_999, max_body_bytes=9), set()),
        (with_route(prefix="r/"), {"error 0 prefix"}),
        (with_route(prefix="/r"), {"error 0 prefix"}),
        (with_route(prefix="/r?/"), {"error 0 prefix"}),
        (with_route(host="h:80"), {"error 0 host"}),
        (with_route(host=""), {"error 0 host"}),
        (with_route(shares=(Share("t", 1.0),)), {"error 0 shares", "warning 0 name"}),
        (
            with_route(shares=(Share("s", 0.0), Share("s", 0.0))),
            {"error 0 shares", "warning 0 shares"},
        ),
        (with_route(shares=(Share("s", 0.0),)), set()),
        (with_route(timeout_s=0.0), {"error 0 timeout_s"}),
        (with_route(objective_s=8.1), {"warning 0 objective_s"}),
        (with_route(kind=KINDS.NON_IDEMPOTENT), {"warning 0 max_attempts"}),
        (with_route(kind=KINDS.STREAM), {"warning 0 max_attempts"}),
        (with_route(resumable=True), {"warning 0 resumable"}),
        (with_route(max_gap_s=9.0), {"warning 0 max_gap_s"}),
        (with_route(priority=10), {"warning 0 priority"}),
        (with_engine(usual_answer_tokens=101.0), {"warning 0 engine"}),
        (
            with_engine(experts=dataclasses.replace(LAYOUT, max_copies_per_rank=10)),
            {"warning 0 engine"},
        ),
        (with_limits(max_header_bytes=0), {"error 0 max_header_bytes"}),
        (with_limits(header_timeout_s=0.0), {"error 0 header_timeout_s"}),
        (with_limits(max_body_bytes=0), {"warning 0 max_body_bytes"}),
        (with_limits(idle_timeout_s=0.0), {"warning 0 idle_timeout_s"}),
        (
            with_workspaces(
                configuration.Workspace("w", ("secret-1", "secret-1"), None),
                configuration.Workspace("w", ("secret-1",), 10),
            ),
            {"warning 0 keys", "error 1 keys", "warning 1 name", "warning 1 priority"},
        ),
        (with_workspaces(), {"error 0 public"}),
    ],
)
def test_finding_names_entry_and_attribute(
    config: configuration.Configuration, expected: set[str]
) -> None:
    found = configurationcheck.find_all(config)
    assert {
        f"{'error' if item.is_error else 'warning'} {item.index} {item.field}"
        for item in found
    } == expected
    assert "secret-1" not in str(found)


prefixes = st.sampled_from(["/a/", "/a/b/", "/", "/a", "b/", "/a?/"])
random_routes = st.lists(
    st.builds(
        dataclasses.replace,
        st.just(ROUTE),
        name=st.integers().map(str),
        host=st.sampled_from(["h", "g", "h:1", ""]),
        prefix=prefixes,
        shares=st.lists(
            st.builds(Share, st.sampled_from("st"), st.sampled_from([0.0, 1.0])),
            max_size=3,
        ).map(lambda shares: (Share("s", 1.0), *shares)),
    ),
    max_size=6,
    unique_by=lambda route: route.name,
)


@hypothesis.given(random_routes)
def test_exactly_the_routes_that_are_reported_never_match(
    found_routes: list[configuration.Route],
) -> None:
    config = dataclasses.replace(CONFIG, routes=tuple(found_routes), workspaces=None)
    findings = configurationcheck.find_all(config)
    table = routes.RouteTable(config)
    for index, route in enumerate(found_routes):
        errors = [
            item
            for item in findings
            if item.is_error
            and item.part is configurationcheck.Part.ROUTE
            and item.index == index
        ]
        reachable = not any("never matches" in item.detail for item in errors)
        # A caller's host has no port; its path begins with a slash and ends before a
        # question mark.
        host = route.host.partition(":")[0]
        path = "/" + route.prefix.lstrip("/").partition("?")[0]
        resolved = None
        if host:
            resolved = table.resolve(host, path.encode(), None, "id")
        is_found = isinstance(resolved, routes.Routed) and resolved.route is route
        assert is_found == reachable


def test_difference_goes_by_names_and_shows_no_keys() -> None:
    before: typing.Any = {
        "routes": [{"name": "a", "timeout_ms": 1}, {"name": "b"}],
        "tenants": [{"name": "w", "api_keys": ["secret-1", "secret-2"]}],
        "limits": None,
    }
    after: typing.Any = {
        "routes": [
            {"name": "b", "split": [{"service": "s", "weight": 1}]},
            {"name": "a", "timeout_ms": 2},
        ],
        "tenants": [{"name": "w", "api_keys": ["secret-1", "secret-3"]}],
        "limits": None,
    }
    changes = configurationdifference.find_changes(
        before, after, name_keys=("name", "service"), secret_keys={"api_keys"}
    )
    assert [change.path for change in changes] == [
        "/routes/a/timeout_ms",
        "/routes/b/split",
        "/tenants/w/api_keys",
    ]
    assert "secret-" not in str(changes)
