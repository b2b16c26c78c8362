"""Tests of deltas between settings documents."""

import json

import hypothesis
from hypothesis import strategies as st

from chicoryweir_policy.settings import delta
from chicoryweir_policy.settings import documents

values = st.recursive(
    st.none() | st.booleans() | st.integers(0, 2) | st.floats(0, 2) | st.text("a/~"),
    lambda inner: st.lists(inner) | st.dictionaries(st.text("a/~"), inner),
    max_leaves=10,
)


@hypothesis.given(values, values)
def test_delta_if_any_gives_the_exact_target_bytes(
    before: object, after: object
) -> None:
    base = documents.encode_document(before)  # type: ignore[arg-type]
    target = documents.encode_document(after)  # type: ignore[arg-type]
    found = delta.compute_delta(base, target)
    if found is None:
        return
    decoded = delta.decode_delta(delta.encode_delta(found))
    assert decoded is not None
    patched = delta.apply_delta(base, decoded)
    assert patched == delta.PatchedDocument(target, json.loads(target))


def test_delta_with_other_base_or_damaged_change_is_rejected() -> None:
    base = documents.encode_document({"a": {"b": 1}, "c": [1]})
    found = delta.compute_delta(base, documents.encode_document({"a": {"b": 2}}))
    assert found is not None
    assert delta.apply_delta(documents.encode_document({"a": {"b": 3}}), found) is None
    damaged = delta.encode_delta(found).replace(b'"/a/b",2', b'"/a/b",7')
    decoded = delta.decode_delta(damaged)
    assert decoded is not None
    assert delta.apply_delta(base, decoded) is None


@hypothesis.given(st.binary() | values.map(lambda v: documents.encode_document(v)))  # type: ignore[arg-type]
def test_damaged_delta_is_rejected_without_exception(data: bytes) -> None:
    decoded = delta.decode_delta(data)
    assert decoded is None or delta.apply_delta(b"{}", decoded) is None
