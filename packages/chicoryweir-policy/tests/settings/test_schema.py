"""Tests that documents that pass the schema can be parsed and resolved."""

import hypothesis
from hypothesis import strategies as st
import jsonschema
import pytest

from chicoryweir_policy import requests
from chicoryweir_policy.settings import catalogue
from chicoryweir_policy.settings import resolution
from chicoryweir_policy.settings import schema
from chicoryweir_policy.settings import tree as trees

VALIDATOR = jsonschema.Draft202012Validator(schema.build_schema())

values = st.dictionaries(
    st.sampled_from([*catalogue.SETTINGS_BY_NAME, "unheard_of"]),
    st.none() | st.integers(-1, 3) | st.floats(0, 2) | st.text(max_size=2),
    max_size=3,
)
names = st.sampled_from(["*", "telavi", "urgent", "bad name", ""])


def make_nodes(levels: tuple[str, ...]) -> st.SearchStrategy[object]:
    node = {"settings": values}
    if levels:
        node[levels[0]] = st.dictionaries(names, make_nodes(levels[1:]), max_size=2)
    return st.fixed_dictionaries({}, optional=node)


def test_schema_itself_is_valid() -> None:
    jsonschema.Draft202012Validator.check_schema(schema.build_schema())


@hypothesis.given(make_nodes(trees.LEVELS))
@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.filter_too_much], max_examples=300
)
def test_valid_document_can_be_resolved(fleet: object) -> None:
    document = {"fleet": fleet}
    if not VALIDATOR.is_valid(document):
        return
    tree = trees.parse_tree(document)  # type: ignore[arg-type]
    effective = resolution.resolve(
        tree, "telavi", "telavi", "telavi", requests.PriorityClass.URGENT
    )
    assert isinstance(effective.deadline_ms, int)


@pytest.mark.parametrize(
    "document",
    [
        {"unheard_of": 1},
        {"fleet": {"settings": {"deadline_ms": 0}}},
        {"fleet": {"settings": {"deadline_ms": True}}},
        {"fleet": {"settings": {"deadline_ms": None}}},
        {"fleet": {"places": {"a": {"workspaces": {}}}}},
        {"workspaces": {"*": {}}},
        {"workspaces": {"relay": {"keys_sha256": ["short"]}}},
        {"services": {"x": {"models": []}}},
        {"workspaces": {"relay\n": {}}},
    ],
)
def test_invalid_document_is_rejected(document: object) -> None:
    assert not VALIDATOR.is_valid(document)
