"""Tests of the JSONC parser: positions, faults and arbitrary input."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from chicoryweir_cli import file_check
from chicoryweir_cli import jsonc
from chicoryweir_policy.settings import documents

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(codec="utf-8")),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=10,
)
fragments = st.sampled_from(
    ['{"fleet":', "{", "}", "[", "]", ",", '"a"', ":", "1", "NaN", "1e999", "//x\n"]
    + ["/*", "*/", "\\", '"', "true", "\ud7ff", "9" * 400, "\x00", "*", "settings"]
)


@hypothesis.given(json_values)
def test_json_decodes_as_in_the_standard_library(value: object) -> None:
    text = json.dumps(value, indent=1)
    parsed_file = jsonc.parse_bytes(text.encode())
    assert parsed_file.located_faults == ()
    assert parsed_file.document == json.loads(text)
    assert documents.parse_text(text.encode()) == documents.Decoded(json.loads(text))


@hypothesis.given(st.binary() | st.lists(fragments).map(lambda f: "".join(f).encode()))
def test_arbitrary_bytes_never_raise(data: bytes) -> None:
    checked = file_check.check_text(data)
    parsed_file = jsonc.parse_bytes(data)
    decoding = documents.parse_text(data)
    assert parsed_file.located_faults or decoding == documents.Decoded(
        parsed_file.document
    )
    documents.decode_document(data)
    lines = data.count(b"\n") + 1
    for located in checked.located_faults:
        assert 1 <= located.position.line <= lines
        assert located.position.column >= 1
        assert file_check.render_fault("f", located).isprintable()


@pytest.mark.parametrize(
    "data",
    [b"[" * 100_000, b'{"a":' * 100_000, b"[" * 900 + b"]" * 900, b"/*" * 50_000],
)
def test_deep_nesting_is_reported_as_fault(data: bytes) -> None:
    assert file_check.check_text(data).located_faults
    documents.parse_text(data)


def test_nesting_past_the_recursion_limit_is_undecodable() -> None:
    data = b"[" * 100_000 + b"]" * 100_000
    assert isinstance(documents.parse_text(data), documents.Undecodable)
    assert isinstance(documents.decode_document(data), documents.Undecodable)


@pytest.mark.parametrize(
    ("text", "line", "column", "problem"),
    [
        ('{"a": 1,\n "ä": 2, "a": 3}', 2, 10, "duplicate key"),
        ('{"a": 1,,}', 1, 8, "text is not JSON"),
        ('{"a": 1/**/2}', 1, 12, "text is not JSON"),
        ("[,]", 1, 2, "text is not JSON"),
        ('{\n"a": NaN}', 2, 1, "text is not JSON"),
        ('{"a": 1e999}', 1, 7, "number is malformed"),
        ('{"a": ' + "9" * 400 + "}", 1, 7, "number is malformed"),
        ('{"a": "\\ud800"}', 1, 7, "string is malformed"),
        ('{"a": 1', 1, 8, "} is missing"),
        ("{} {}", 1, 4, "file must contain exactly one value"),
        ("", 1, 1, "file must contain exactly one value"),
    ],
)
def test_fault_has_its_line_and_column(
    text: str, line: int, column: int, problem: str
) -> None:
    first = jsonc.parse_bytes(text.encode()).located_faults[0]
    assert first.position == jsonc.Position(line, column)
    assert first.fault.problem.startswith(problem)


def test_comments_and_trailing_commas_are_allowed() -> None:
    text = '// top\n{"a": [1, 2, /* x */], "b": {"c": "// no",} /* y */, }\n//end'
    parsed_file = jsonc.parse_bytes(text.encode())
    assert parsed_file.located_faults == ()
    assert parsed_file.document == {"a": [1, 2], "b": {"c": "// no"}}
    assert parsed_file.values["/b/c"] == jsonc.Position(2, 35)
    assert documents.parse_text(text.encode()) == documents.Decoded(
        parsed_file.document
    )
