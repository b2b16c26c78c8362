"""Tests of decoding and encoding JSON documents."""

import pytest

from chicoryweir_policy.settings import documents


@pytest.mark.parametrize(
    "text", ['{"a": 1, "a": 1}', "[NaN]", "1e999", "9" * 400, "\ufeff", "{"]
)
def test_invalid_untrusted_text_is_rejected(text: str) -> None:
    for decode in (documents.parse_text, documents.decode_document):
        assert isinstance(decode(text.encode()), documents.Undecodable)


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
def test_syntax_error_has_line_and_column(text: str, line: int, column: int) -> None:
    undecodable = documents.parse_text(text.encode())
    assert isinstance(undecodable, documents.Undecodable)
    assert (undecodable.line, undecodable.column) == (line, column)


def test_encoding_is_equal_for_equal_documents() -> None:
    encoded = documents.encode_document({"b": [1, "ä"], "a": None})
    assert encoded == documents.encode_document({"a": None, "b": [1, "ä"]})
    assert documents.decode_stored(encoded) == documents.decode_document(encoded)
