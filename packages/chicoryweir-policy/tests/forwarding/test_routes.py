"""Tests of the lookup of routes, keys and services."""

import collections
import dataclasses

import hypothesis
from hypothesis import strategies

from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import routes


def _build_table(route, prefixes, **changes):
    configured = tuple(
        dataclasses.replace(route, name=prefix, prefix=prefix, **changes)
        for prefix in prefixes
    )
    workspaces = (configuration.Workspace("w", ("key",), 2),)
    config = configuration.Configuration(
        7, configured, (), workspaces, configuration.Limits()
    )
    return routes.RouteTable(config)


def test_longest_matching_prefix_is_selected(route):
    table = _build_table(route, ["/a/", "/a/b/", "/a/b/c/"])
    found = table.resolve("h.example", b"/a/b/x", b"key", "1")
    assert isinstance(found, routes.Routed)
    assert found.route.prefix == "/a/b/"


def test_path_without_trailing_slash_of_prefix_is_not_found(route):
    table = _build_table(route, ["/a/"])
    assert isinstance(table.resolve("h.example", b"/a", b"key", "1"), routes.NotFound)
    assert isinstance(table.resolve("other", b"/a/", b"key", "1"), routes.NotFound)


# Guards against routes of all priorities in the class of their workspace.
def test_workspace_priority_precedes_route_priority(route):
    config = configuration.Configuration(
        1,
        tuple(
            dataclasses.replace(route, name=str(n), prefix=f"/{n}/", priority=n)
            for n in range(3)
        ),
        (),
        tuple(
            configuration.Workspace(f"w{n}", (f"k{n}",), priority)
            for n, priority in enumerate((0, 1, 1, 2))
        ),
        configuration.Limits(),
    )
    table = routes.RouteTable(config)
    found = {
        key: [
            table.resolve("h.example", b"/%d/" % n, key, "1").priority for n in range(3)
        ]
        for key in (b"k0", b"k1", b"k3")
    }
    assert found == {b"k0": [0, 0, 0], b"k1": [0, 1, 2], b"k3": [3, 4, 5]}


def test_unknown_key_is_rejected_unless_route_is_public(route):
    table = _build_table(route, ["/a/"])
    for key in (None, b"", b"other"):
        found = table.resolve("h.example", b"/a/x", key, "1")
        assert isinstance(found, routes.KeyUnknown)
    public = _build_table(route, ["/a/"], public=True)
    assert isinstance(public.resolve("h.example", b"/a/x", None, "1"), routes.Routed)


def test_split_follows_weights_and_is_stable_per_request(route):
    shares = (
        configuration.ServiceShare("one", 90.0),
        configuration.ServiceShare("two", 10.0),
    )
    table = _build_table(route, ["/a/"], shares=shares)
    drawn = [
        table.resolve("h.example", b"/a/", b"key", str(n)).service for n in range(2000)
    ]
    assert 140 <= collections.Counter(drawn)["two"] <= 260
    again = table.resolve("h.example", b"/a/", b"key", "5").service
    assert again == drawn[5]


@hypothesis.given(
    strategies.lists(strategies.sampled_from(["a", "b", "c"]), max_size=5),
    strategies.sets(
        strategies.lists(strategies.sampled_from(["a", "b", "c"]), max_size=4).map(
            lambda parts: "/" + "".join(f"{part}/" for part in parts)
        ),
        max_size=6,
    ),
)
def test_lookup_agrees_with_linear_search_of_prefixes(parts, prefixes):
    route = configuration.Route(
        "r",
        "h.example",
        "/",
        configuration.RouteKind.IDEMPOTENT,
        False,
        1.0,
        1.0,
        0.0,
        0,
        1,
        False,
        (configuration.ServiceShare("s", 1.0),),
    )
    table = _build_table(route, sorted(prefixes))
    path = "/" + "/".join(parts)
    matching = [prefix for prefix in prefixes if path.startswith(prefix)]
    found = table.resolve("h.example", path.encode(), b"key", "1")
    if not matching:
        assert isinstance(found, routes.NotFound)
    else:
        assert isinstance(found, routes.Routed)
        assert found.route.prefix == max(matching, key=len)
