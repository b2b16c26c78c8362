"""Validates settings documents and lists all faults."""

from __future__ import annotations

import collections.abc
import difflib
import functools
import typing

import jsonschema

from chicoryweir_policy import store
from chicoryweir_policy.settings import consistency
from chicoryweir_policy.settings import difference
from chicoryweir_policy.settings import faults
from chicoryweir_policy.settings import pruning
from chicoryweir_policy.settings import schema

MAX_FAULTS = 1000
_NAME_DESCRIPTION = (
    "up to 63 letters, digits, dots, dashes and underscores, "
    "the first a letter or digit"
)


def find_faults(
    document: store.Json, base: store.Json = None
) -> tuple[faults.Fault, ...]:
    """Lists the faults of a document, ordered by path; at most `MAX_FAULTS`.

    Args:
        document: Document to validate.
        base: Valid document, or None. Only the parts that differ from it are checked
            against the schema, which takes most of the time.
    """
    pruned = document if base is None else pruning.prune_unchanged(document, base)
    found: list[faults.Fault] = []
    for error in _make_validator().iter_errors(pruned):
        found.extend(_translate_error(error))
        if len(found) >= MAX_FAULTS:
            break
    if not found:
        found.extend(consistency.find_faults(document))
    return tuple(sorted(found[:MAX_FAULTS], key=lambda fault: fault.path))


@functools.cache
def _make_validator() -> jsonschema.Draft202012Validator:
    return jsonschema.Draft202012Validator(schema.build_schema())


def _translate_error(
    error: jsonschema.ValidationError,
) -> collections.abc.Iterator[faults.Fault]:
    path = ""
    for part in error.absolute_path:
        path = difference.join_pointer(path, str(part))
    if error.validator == "additionalProperties":
        yield from _translate_unknown_keys(error, path)
    elif "propertyNames" in error.absolute_schema_path:
        name = str(error.instance)
        allowed = _describe_names(error)
        yield faults.Fault(
            difference.join_pointer(path, name),
            "name is not allowed",
            faults.format_value(name),
            allowed,
            is_key_fault=True,
        )
    elif error.validator == "required":
        missing = sorted(set(error.validator_value) - set(error.instance))
        allowed = f"an object with {', '.join(missing)}"
        yield faults.Fault(
            path, "key is missing", faults.format_value(error.instance), allowed
        )
    else:
        problem = _PROBLEMS.get(str(error.validator), "value is not allowed")
        yield faults.Fault(
            path, problem, faults.format_value(error.instance), _describe_value(error)
        )


_PROBLEMS = {
    "type": "wrong type",
    "minimum": "value is too small",
    "maximum": "value is too great",
    "uniqueItems": "an item is doubled",
    "pattern": "wrong format",
    "not": "setting is not allowed at this level",
}


def _translate_unknown_keys(
    error: jsonschema.ValidationError, path: str
) -> collections.abc.Iterator[faults.Fault]:
    known = sorted(error.schema.get("properties", {}))
    for key in error.instance:
        if key in known:
            continue
        matches = difflib.get_close_matches(str(key), known, n=1)
        hint = f"; did you mean {matches[0]!r}?" if matches else ""
        yield faults.Fault(
            difference.join_pointer(path, key),
            f"unknown key{hint}",
            faults.format_value(key),
            "one of " + ", ".join(known),
            is_key_fault=True,
        )


def _describe_names(error: jsonschema.ValidationError) -> str:
    if error.validator == "enum":
        return "one of " + ", ".join(error.validator_value)
    if error.validator == "anyOf":
        return "* or " + _NAME_DESCRIPTION
    return _NAME_DESCRIPTION


def _describe_value(error: jsonschema.ValidationError) -> str:
    rules: dict[str, typing.Any] = error.schema
    if "description" in rules:
        return str(rules["description"])
    if "enum" in rules:
        return "one of " + ", ".join(rules["enum"])
    if rules.get("pattern") == schema.SHA256_PATTERN:
        return "a SHA-256 as 64 hexadecimal digits"
    if rules.get("uniqueItems"):
        return "a list without doubled items"
    if "minLength" in rules:
        return f"a string of {rules['minLength']} to {rules['maxLength']} characters"
    kind = rules.get("type")
    return f"an {kind}" if kind == "object" else f"a {kind}"
