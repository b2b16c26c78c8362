"""Tests of differences between settings documents."""

import hypothesis
from hypothesis import strategies as st

from chicoryweir_policy.settings import difference

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def test_change_has_path_and_both_values() -> None:
    before = {"a/b": {"x": 1, "same": 2}, "gone": []}
    after = {"a/b": {"x": True, "same": 2.0}, "new": None}
    assert difference.find_changes(before, after) == (
        difference.Change("/a~1b/x", 1, True),
        difference.Change("/gone", [], difference.ABSENT),
        difference.Change("/new", difference.ABSENT, None),
    )


@hypothesis.given(json_values)
def test_equal_documents_have_no_changes(document: object) -> None:
    assert difference.find_changes(document, document) == ()  # type: ignore[arg-type]


@hypothesis.given(st.lists(st.text()))
def test_split_pointer_inverts_join_pointer(keys: list[str]) -> None:
    path = ""
    for key in keys:
        path = difference.join_pointer(path, key)
    assert difference.split_pointer(path) == tuple(keys)
