"""Tests of inheritance in the settings tree."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from chicoryweir_policy import requests
from chicoryweir_policy.settings import catalogue
from chicoryweir_policy.settings import resolution
from chicoryweir_policy.settings import tree as trees

URGENT = requests.PriorityClass.URGENT
BULK = requests.PriorityClass.BULK
HASH = "ab" * 32

DOCUMENT = {
    "workspaces": {"relay": {"keys_sha256": [HASH]}},
    "services": {"model-desk": {"kind": "model", "models": ["kakheti-1"]}},
    "fleet": {
        "settings": {"weight": 2, "max_attempts": 5.0},
        "places": {
            "*": {"services": {"model-desk": {"settings": {"weight": 3}}}},
            "telavi": {
                "settings": {"queue_limit": 9, "rate_tokens_per_s": 10},
                "services": {
                    "*": {
                        "settings": {"weight": 4},
                        "workspaces": {
                            "relay": {
                                "classes": {
                                    "urgent": {"settings": {"rate_tokens_per_s": None}}
                                }
                            }
                        },
                    }
                },
            },
        },
    },
}


def test_deepest_node_takes_precedence_and_other_values_are_inherited() -> None:
    tree = trees.parse_tree(DOCUMENT)
    urgent = resolution.resolve(tree, "telavi", "model-desk", "relay", URGENT)
    bulk = resolution.resolve(tree, "telavi", "model-desk", "relay", BULK)
    assert (urgent.rate_tokens_per_s, bulk.rate_tokens_per_s) == (None, 10.0)
    assert (bulk.queue_limit, bulk.max_attempts, bulk.floor_share) == (9, 5, 0.1)
    assert isinstance(bulk.max_attempts, int)


def test_name_at_higher_level_takes_precedence_over_name_below_any() -> None:
    tree = trees.parse_tree(DOCUMENT)
    assert resolution.resolve(tree, "telavi", "model-desk", "", BULK).weight == 4.0
    assert resolution.resolve(tree, "gurjaani", "model-desk", "", BULK).weight == 3.0
    assert resolution.resolve(tree, "gurjaani", "other", "", BULK).weight == 2.0


def test_explain_returns_the_node_of_each_value() -> None:
    tree = trees.parse_tree(DOCUMENT)
    origins = {
        origin.name: origin
        for origin in resolution.explain(tree, "telavi", "model-desk", "relay", URGENT)
    }
    assert origins["weight"].node == "/fleet/places/telavi/services/*"
    assert origins["retry_ratio"].node == resolution.DEFAULTS_ORIGIN
    assert origins["rate_tokens_per_s"].value is None
    effective = resolution.resolve(tree, "telavi", "model-desk", "relay", URGENT)
    assert {name: origin.value for name, origin in origins.items()} == (
        dataclasses.asdict(effective)
    )


def test_effective_settings_match_catalogue() -> None:
    for priority in requests.PriorityClass:
        values = dataclasses.asdict(resolution.get_defaults(priority))
        assert set(values) == set(catalogue.SETTINGS_BY_NAME)
        for name, value in values.items():
            setting = catalogue.SETTINGS_BY_NAME[name]
            if value is None:
                assert setting.nullable
            else:
                assert setting.minimum <= value <= setting.maximum


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(["telavi", "gurjaani", "*"]),
            st.sampled_from(["model-desk", "other"]),
            st.sampled_from(["relay", "clerks", ""]),
            st.sampled_from(list(requests.PriorityClass)),
        )
    )
)
def test_resolver_with_bounded_cache_matches_resolve(
    lookups: list[tuple[str, str, str, requests.PriorityClass]],
) -> None:
    tree = trees.parse_tree(DOCUMENT)
    resolver = resolution.make_resolver(tree, max_cached=2)
    for lookup in lookups:
        assert resolver.resolve(*lookup) == resolution.resolve(tree, *lookup)


def test_key_hash_maps_to_its_workspace() -> None:
    tree = trees.parse_tree(DOCUMENT)
    assert tree.workspace_by_key[HASH] == "relay"
    assert tree.services["model-desk"].models == ("kakheti-1",)


@pytest.mark.parametrize("document", [{}, {"fleet": {}}])
def test_empty_document_resolves_to_defaults(document: dict[str, object]) -> None:
    tree = trees.parse_tree(document)  # type: ignore[arg-type]
    assert resolution.resolve(tree, "a", "b", "c", BULK) == (
        resolution.get_defaults(BULK)
    )
