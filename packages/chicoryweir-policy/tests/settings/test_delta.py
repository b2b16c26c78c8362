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
def test_delta_gives_the_exact_bytes_or_there_is_none(one: object, two: object) -> None:
    base = documents.encode_document(one)  # type: ignore[arg-type]
    target = documents.encode_document(two)  # type: ignore[arg-type]
    found = delta.compute_delta(base, target)
    if found is None:
        return
    sent = delta.decode_delta(delta.encode_delta(found))
    assert sent is not None
    patched = delta.apply_delta(base, sent)
    assert patched == delta.PatchedDocument(target, json.loads(target))


def test_other_base_or_damaged_change_is_refused() -> None:
    base = documents.encode_document({"a": {"b": 1}, "c": [1]})
    found = delta.compute_delta(base, documents.encode_document({"a": {"b": 2}}))
    assert found is not None
    assert delta.apply_delta(documents.encode_document({"a": {"b": 3}}), found) is None
    damaged = delta.encode_delta(found).replace(b'"/a/b",2', b'"/a/b",7')
    sent = delta.decode_delta(damaged)
    assert sent is not None
    assert delta.apply_delta(base, sent) is None


@hypothesis.given(st.binary() | values.map(lambda v: documents.encode_document(v)))  # type: ignore[arg-type]
def test_damaged_delta_never_fails(data: bytes) -> None:
    sent = delta.decode_delta(data)
    assert sent is None or delta.apply_delta(b"{}", sent) is None
