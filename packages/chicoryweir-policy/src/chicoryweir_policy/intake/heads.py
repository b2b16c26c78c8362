"""Validates the request line and headers before the body is read."""

from __future__ import annotations

import collections.abc
import dataclasses
import hashlib
import re

from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy.intake import rejections
from chicoryweir_policy.settings import resolution
from chicoryweir_policy.settings import tree as trees

MAX_DEADLINE_MS = 86_400_000
MAX_KEY_CHARS = 255
COMPLETION_PATHS = frozenset({"/v1/completions", "/v1/chat/completions"})
SERVICES_PREFIX = "/v1/services/"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}\Z")
_PRIORITIES = {
    "urgent": requests.PriorityClass.URGENT,
    "standard": requests.PriorityClass.STANDARD,
    "bulk": requests.PriorityClass.BULK,
}


@dataclasses.dataclass(frozen=True, slots=True)
class RawHead:
    """Request line and headers as received.

    Attributes:
        method: HTTP method.
        path: Path, percent-encoded.
        query: Query string, without the question mark.
        headers: Header values by lower-case name.
        size_bytes: Total size of all headers.
    """

    method: str
    path: str
    query: str
    headers: collections.abc.Mapping[str, str]
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """A validated head.

    Attributes:
        raw: The head as received.
        workspace: Workspace of the caller.
        service: Plain service that is called; empty for a completion.
        path: Path for the endpoint, including the query.
        priority: Priority class.
        deadline_ms: Deadline given by the caller, in milliseconds from arrival; None to
            use that of the settings.
        idempotency_key: Key given by the caller, or an empty string.
        declared_idempotent: Value of the X-Idempotent header; None if absent.
        max_request_bytes: Maximum size of the body.
    """

    raw: RawHead
    workspace: str
    service: str
    path: str
    priority: requests.PriorityClass
    deadline_ms: int | None
    idempotency_key: str
    declared_idempotent: bool | None
    max_request_bytes: int


def check_head(
    raw: RawHead, resolver: resolution.Resolver, data_centre: str
) -> Head | outcomes.Problem:
    """Validates a head against the settings in force.

    Returns:
        The validated head, or the problem to answer with if it is invalid.
    """
    problem = _check_path(raw)
    if problem is not None:
        return problem
    workspace = authenticate(raw, resolver.tree)
    if isinstance(workspace, outcomes.Problem):
        return workspace
    service, path = _split_path(raw)
    if service and service not in resolver.tree.services:
        return rejections.make_unknown("service", service)
    priority = _parse_priority(raw)
    if isinstance(priority, outcomes.Problem):
        return priority
    effective = resolver.resolve(data_centre, service, workspace, priority)
    if raw.size_bytes > effective.max_header_bytes:
        return rejections.make_too_large("headers", effective.max_header_bytes)
    content_length = raw.headers.get("content-length", "0")
    if content_length.isdigit() and int(content_length) > effective.max_request_bytes:
        return rejections.make_too_large("body", effective.max_request_bytes)
    return _check_optional_headers(raw, workspace, service, path, priority, effective)


def _check_path(raw: RawHead) -> outcomes.Problem | None:
    if raw.path.startswith(SERVICES_PREFIX):
        return None
    if raw.path not in COMPLETION_PATHS:
        return rejections.make_unknown("path", raw.path)
    if raw.method != "POST":
        return rejections.make_wrong_method(raw.method)
    return None


def _check_optional_headers(
    raw: RawHead,
    workspace: str,
    service: str,
    path: str,
    priority: requests.PriorityClass,
    effective: resolution.Effective,
) -> Head | outcomes.Problem:
    deadline_ms = _parse_deadline(raw)
    if isinstance(deadline_ms, outcomes.Problem):
        return deadline_ms
    declared_idempotent = _parse_idempotent(raw)
    if isinstance(declared_idempotent, outcomes.Problem):
        return declared_idempotent
    key = raw.headers.get("idempotency-key", "")
    if key and not _KEY_PATTERN.match(key):
        detail = f"expected 1 to {MAX_KEY_CHARS} visible ASCII characters"
        return rejections.make_bad_field("Idempotency-Key", detail)
    if declared_idempotent is False and not key:
        detail = "X-Idempotent: false needs an Idempotency-Key"
        return rejections.make_bad_field("Idempotency-Key", detail)
    return Head(
        raw=raw,
        workspace=workspace,
        service=service,
        path=path,
        priority=priority,
        deadline_ms=deadline_ms,
        idempotency_key=key,
        declared_idempotent=declared_idempotent,
        max_request_bytes=effective.max_request_bytes,
    )


def authenticate(raw: RawHead, tree: trees.Tree) -> str | outcomes.Problem:
    """Authenticates the caller and returns its workspace.

    Keys are looked up by their SHA-256 digest, which an attacker cannot choose, so the
    time of the look-up leaks nothing about a key.
    """
    authorization = raw.headers.get("authorization", "")
    named_workspace = raw.headers.get("x-workspace", "")
    if not authorization:
        return _authenticate_without_key(named_workspace, tree)
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        detail = "expected `Authorization: Bearer KEY`"
        return rejections.make_unauthorized(detail)
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    workspace = tree.workspace_by_key.get(digest)
    if workspace is None:
        return rejections.make_unauthorized("no workspace has this key")
    if named_workspace and named_workspace != workspace:
        return rejections.make_forbidden("the key belongs to another workspace")
    return workspace


def _authenticate_without_key(
    named_workspace: str, tree: trees.Tree
) -> str | outcomes.Problem:
    if not named_workspace:
        return rejections.make_unauthorized("expected `Authorization: Bearer KEY`")
    keys = tree.workspace_keys.get(named_workspace)
    if keys is None or keys:
        return rejections.make_unauthorized("this workspace needs a key")
    return named_workspace


def _split_path(raw: RawHead) -> tuple[str, str]:
    query = f"?{raw.query}" if raw.query else ""
    if not raw.path.startswith(SERVICES_PREFIX):
        return "", raw.path + query
    service, _, rest = raw.path[len(SERVICES_PREFIX) :].partition("/")
    return service, f"/{rest}{query}"


def _parse_priority(raw: RawHead) -> requests.PriorityClass | outcomes.Problem:
    text = raw.headers.get("x-priority", "standard")
    priority = _PRIORITIES.get(text.strip().lower())
    if priority is None:
        detail = "expected urgent, standard or bulk"
        return rejections.make_bad_field("X-Priority", detail)
    return priority


def _parse_deadline(raw: RawHead) -> int | None | outcomes.Problem:
    text = raw.headers.get("x-deadline-ms")
    if text is None:
        return None
    detail = f"expected a whole number from 1 to {MAX_DEADLINE_MS}"
    if not re.fullmatch(r"[0-9]{1,8}", text.strip()):
        return rejections.make_bad_field("X-Deadline-Ms", detail)
    deadline_ms = int(text)
    if not 1 <= deadline_ms <= MAX_DEADLINE_MS:
        return rejections.make_bad_field("X-Deadline-Ms", detail)
    return deadline_ms


def _parse_idempotent(raw: RawHead) -> bool | None | outcomes.Problem:
    text = raw.headers.get("x-idempotent")
    if text is None:
        return None
    values = {"true": True, "false": False}
    idempotent = values.get(text.strip().lower())
    if idempotent is None:
        return rejections.make_bad_field("X-Idempotent", "expected true or false")
    return idempotent
