"""Reads the platform's JSON replies into typed values."""

from __future__ import annotations

import typing

from chicoryweir_policy import store
from chicoryweir_policy.membership import instances


class MalformedReplyError(ValueError):
    """A reply of the platform does not have the agreed form."""


def decode_rows(reply: typing.Any) -> tuple[store.Row, ...]:
    """Returns the rows of a reply.

    Raises:
        MalformedReplyError: The reply lacks rows or one of their members.
    """
    try:
        return tuple(
            store.Row(str(row["key"]), int(row["version"]), row["value"])
            for row in reply["rows"]
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedReplyError(f"rows: {error!r}") from error


def decode_versions(reply: typing.Any) -> dict[str, int]:
    """Returns the versions that a transaction gave to the rows it wrote.

    Raises:
        MalformedReplyError: The reply holds no versions.
    """
    try:
        return {str(key): int(n) for key, n in reply["versions"].items()}
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedReplyError(f"versions: {error!r}") from error


def decode_instances(reply: typing.Any) -> tuple[instances.Instance, ...]:
    """Returns the instances of a reply.

    Raises:
        MalformedReplyError: An instance lacks a member or has an unknown role.
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
