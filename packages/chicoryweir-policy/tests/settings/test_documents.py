"""Tests of reading and writing JSON documents."""

import pytest

from chicoryweir_policy.settings import documents


@pytest.mark.parametrize(
    "text", ['{"a": 1, "a": 1}', "[NaN]", "1e999", "9" * 400, "\ufeff", "{"]
)
def test_text_from_outside_is_refused(text: str) -> None:
    for read in (documents.parse_text, documents.decode_document):
        assert isinstance(read(text.encode()), documents.Undecodable)


@pytest.mark.parametrize(
    ("text", "line", "column"),
    [
        ('{\n // x\n "a": }', 3, 7),
        ('{/* x\n */ "b": [1,\n],\n "a": }', 4, 7),
        ('{"a": 1/**/2}', 1, 12),
        ('{"a": "// no", }}', 1, 17),
        ('{"a": 1 /* open', 1, 16),
    ],
)
def test_fault_of_syntax_has_its_line_and_column(
    text: str, line: int, column: int
) -> None:
    faulty = documents.parse_text(text.encode())
    assert isinstance(faulty, documents.Undecodable)
    assert (faulty.line, faulty.column) == (line, column)


def test_encoding_is_equal_for_equal_documents() -> None:
    one = documents.encode_document({"b": [1, "ä"], "a": None})
    assert one == documents.encode_document({"a": None, "b": [1, "ä"]})
    assert documents.decode_stored(one) == documents.decode_document(one)
