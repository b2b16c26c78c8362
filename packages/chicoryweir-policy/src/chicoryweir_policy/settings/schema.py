"""JSON schema of a settings document."""

from __future__ import annotations

import typing

from chicoryweir_policy.settings import catalogue
from chicoryweir_policy.settings import tree as trees

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z"
MAX_RANKS = 1024
MAX_EXPERTS = 4096
SHA256_PATTERN = r"^[0-9a-fA-F]{64}\Z"
CLASS_NAMES = ("urgent", "standard", "bulk", trees.ANY_NAME)

Schema = dict[str, typing.Any]


def build_schema() -> Schema:
    """Builds the schema; `tree.parse_tree` accepts every document that passes it."""
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "Settings of chicoryweir",
        "type": "object",
        "additionalProperties": False,
        "properties": {
            "workspaces": _build_key_owners(),
            "operators": _build_key_owners(),
            "services": {
                "type": "object",
                "propertyNames": {"pattern": NAME_PATTERN},
                "additionalProperties": _build_service(),
            },
            "groups": {
                "type": "object",
                "propertyNames": {"pattern": NAME_PATTERN},
                "additionalProperties": _build_group(),
            },
            "fleet": _build_node(0),
        },
    }


def _build_key_owners() -> Schema:
    return {
        "type": "object",
        "propertyNames": {"pattern": NAME_PATTERN},
        "additionalProperties": {
            "type": "object",
            "additionalProperties": False,
            "properties": {
                "keys_sha256": {
                    "type": "array",
                    "uniqueItems": True,
                    "items": {"type": "string", "pattern": SHA256_PATTERN},
                }
            },
        },
    }


def _build_service() -> Schema:
    return {
        "type": "object",
        "additionalProperties": False,
        "required": ["kind"],
        "properties": {
            "kind": {
                "type": "string",
                "enum": [kind.value for kind in trees.ServiceKind],
            },
            "models": {
                "type": "array",
                "uniqueItems": True,
                "items": {"type": "string", "minLength": 1, "maxLength": 200},
            },
        },
    }


def _build_group() -> Schema:
    return {
        "type": "object",
        "additionalProperties": False,
        "required": ["service", "ranks", "experts", "slots_per_rank"],
        "properties": {
            "service": {"type": "string", "pattern": NAME_PATTERN},
            "ranks": {"type": "integer", "minimum": 1, "maximum": MAX_RANKS},
            "experts": {"type": "integer", "minimum": 1, "maximum": MAX_EXPERTS},
            "slots_per_rank": {
                "type": "integer",
                "minimum": 1,
                "maximum": MAX_EXPERTS,
            },
            "agents": {
                "type": "array",
                "uniqueItems": True,
                "items": {"type": "string", "pattern": NAME_PATTERN},
            },
        },
    }


def _build_node(depth: int) -> Schema:
    properties: Schema = {"settings": _build_settings(depth)}
    if depth < len(trees.LEVELS):
        level = trees.LEVELS[depth]
        names: Schema = {"anyOf": [{"const": "*"}, {"pattern": NAME_PATTERN}]}
        if level == "classes":
            names = {"enum": list(CLASS_NAMES)}
        properties[level] = {
            "type": "object",
            "propertyNames": names,
            "additionalProperties": _build_node(depth + 1),
        }
    return {
        "type": "object",
        "additionalProperties": False,
        "properties": properties,
    }


def _build_settings(depth: int) -> Schema:
    level = trees.LEVELS[depth - 1] if depth else None
    return {
        "type": "object",
        "additionalProperties": False,
        "properties": {
            setting.name: _build_value(setting)
            if setting.level in (None, level)
            else _build_forbidden(setting)
            for setting in catalogue.SETTINGS
        },
    }


def _build_value(setting: catalogue.Setting) -> Schema:
    description = _describe(setting)
    if setting.is_flag:
        return {"type": "boolean", "description": description}
    kind = "integer" if setting.is_integer else "number"
    return {
        "type": [kind, "null"] if setting.nullable else kind,
        "minimum": setting.minimum,
        "maximum": setting.maximum,
        "description": description,
    }


def _build_forbidden(setting: catalogue.Setting) -> Schema:
    """Builds the schema of a setting at a level that must not set it."""
    return {"not": {}, "description": _describe(setting)}


def _describe(setting: catalogue.Setting) -> str:
    return f"{setting.summary}; {setting.describe_allowed()}."
