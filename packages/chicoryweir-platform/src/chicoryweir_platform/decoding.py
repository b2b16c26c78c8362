"""Decodes the platform's JSON replies."""

from __future__ import annotations

import typing

from chicoryweir_policy import store
from chicoryweir_policy.membership import instances


class MalformedReplyError(ValueError):
    """A reply of the platform has an unexpected structure."""


def decode_rows(reply: typing.Any) -> tuple[store.Row, ...]:
    """Decodes the rows of a reply.

    Raises:
        MalformedReplyError: The rows or members of a row are missing or invalid.
    """
    try:
        return tuple(
            store.Row(str(row["key"]), int(row["version"]), row["value"])
            for row in reply["rows"]
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedReplyError(f"rows: {error!r}") from error


def decode_versions(reply: typing.Any) -> dict[str, int]:
    """Decodes the new versions of the rows that a transaction wrote, by key.

    Raises:
        MalformedReplyError: The versions are missing or invalid.
    """
    try:
        return {str(key): int(version) for key, version in reply["versions"].items()}
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedReplyError(f"versions: {error!r}") from error


def decode_instances(reply: typing.Any) -> tuple[instances.Instance, ...]:
    """Decodes the instances of a reply.

    Raises:
        MalformedReplyError: A member of an instance is missing or invalid.
    """
    try:
        return tuple(_decode_instance(entry) for entry in reply["instances"])
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedReplyError(f"instances: {error!r}") from error


def _decode_instance(entry: typing.Any) -> instances.Instance:
    return instances.Instance(
        instance=str(entry["instance"]),
        role=instances.Role(entry["role"]),
        data_centre=str(entry["place"]),
        service=str(entry.get("service") or ""),
        ip=str(entry["ip"]),
        port=int(entry.get("port") or 0),
        link_port=int(entry.get("link_port") or 0),
        leaving=entry["state"] == "leaving",
    )
