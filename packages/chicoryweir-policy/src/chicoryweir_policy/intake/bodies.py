"""Validates request bodies and builds requests from them."""

from __future__ import annotations

import hashlib
import json
import math
import typing

from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy.intake import heads
from chicoryweir_policy.intake import rejections
from chicoryweir_policy.routing import prefix
from chicoryweir_policy.settings import resolution
from chicoryweir_policy.settings import tree as trees

CHARS_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 1_000_000
BYTES_PER_COST_TOKEN = 4096
_CHAT_PATH = "/v1/chat/completions"
# Fields that identify the caller or control the delivery of the answer; they do not
# change the content that runs.
_UNHASHED_FIELDS = frozenset(
    {
        "metadata",
        "safety_identifier",
        "service_tier",
        "store",
        "stream",
        "stream_options",
        "user",
    }
)

Json = dict[str, typing.Any]


class _BodyError(Exception):
    """A field of the body is invalid."""

    def __init__(self, field: str, detail: str) -> None:
        super().__init__(detail)
        self.problem = rejections.make_bad_field(field, detail)


def parse_request(
    head: heads.Head,
    body: bytes,
    resolver: resolution.Resolver,
    data_centre: str,
    request_id: str,
    now: float,
) -> requests.Request | outcomes.Problem:
    """Parses a request from its validated head and its body.

    Args:
        head: The validated head.
        body: The body, within its size limit.
        resolver: Settings in force.
        data_centre: Data centre of the entry.
        request_id: Identifier assigned to the request.
        now: Time of arrival, monotonic seconds.

    Returns:
        The request, or the problem to answer with if the body is invalid.
    """
    if head.service:
        return _make_service_request(head, body, resolver, data_centre, request_id, now)
    try:
        document = _parse_document(body)
        return _make_completion_request(
            head, body, document, resolver, data_centre, request_id, now
        )
    except _BodyError as error:
        return error.problem


def _parse_document(body: bytes) -> Json:
    try:
        document = json.loads(body, parse_constant=_reject_constant)
    except UnicodeDecodeError:
        raise _BodyError("body", "expected UTF-8 text") from None
    except json.JSONDecodeError as error:
        detail = f"not JSON: {error.msg}, line {error.lineno} column {error.colno}"
        raise _BodyError("body", detail) from None
    except (RecursionError, ValueError):
        detail = "nested too deeply, or a number too long"
        raise _BodyError("body", detail) from None
    if not isinstance(document, dict):
        raise _BodyError("body", "expected a JSON object")
    return document


def _reject_constant(name: str) -> typing.NoReturn:
    raise _BodyError("body", f"{name} is no JSON number")


def _make_completion_request(
    head: heads.Head,
    body: bytes,
    document: Json,
    resolver: resolution.Resolver,
    data_centre: str,
    request_id: str,
    now: float,
) -> requests.Request | outcomes.Problem:
    model = document.get("model")
    if not isinstance(model, str) or not model:
        raise _BodyError("model", "expected the name of a model")
    service = _find_service(resolver.tree, model)
    if service is None:
        return rejections.make_unknown("model", model)
    stream = document.get("stream", False)
    if stream is not None and not isinstance(stream, bool):
        raise _BodyError("stream", "expected true or false")
    prompt = _extract_prompt(document, head.raw.path)
    max_tokens = _extract_max_tokens(document)
    prompt_tokens = math.ceil(len(prompt) / CHARS_PER_TOKEN)
    blocks = prefix.hash_blocks(prompt)
    effective = resolver.resolve(data_centre, service, head.workspace, head.priority)
    deadline_ms = head.deadline_ms or effective.deadline_ms
    return requests.Request(
        request_id=request_id,
        workspace=head.workspace,
        service=service,
        model=model,
        priority=head.priority,
        arrived_at=now,
        deadline_at=now + deadline_ms / 1000.0,
        idempotency=_determine_idempotency(head, idempotent_by_default=True),
        idempotency_key=head.idempotency_key,
        mode=requests.AnswerMode.EVENTS if stream else requests.AnswerMode.BODY,
        method=head.raw.method,
        path=head.path,
        content_type="application/json",
        body=body,
        fingerprint=_hash_document(document, head.path),
        prefix=blocks[0] if blocks else 0,
        prefix_blocks=blocks,
        cost_tokens=float(prompt_tokens + max_tokens),
        prompt_tokens=float(prompt_tokens),
    )


def _find_service(tree: trees.Tree, model: str) -> str | None:
    for service in tree.services.values():
        if model in service.models:
            return service.name
    return None


def _extract_max_tokens(document: Json) -> int:
    for field in ("max_completion_tokens", "max_tokens"):
        value = document.get(field)
        if value is None:
            continue
        if type(value) is not int or not 1 <= value <= MAX_TOKENS_LIMIT:
            detail = f"expected a whole number from 1 to {MAX_TOKENS_LIMIT}"
            raise _BodyError(field, detail)
        return value
    return DEFAULT_MAX_TOKENS


def _extract_prompt(document: Json, path: str) -> str:
    if path == _CHAT_PATH:
        return _extract_messages(document)
    prompt = document.get("prompt")
    if isinstance(prompt, str):
        return prompt
    if isinstance(prompt, list) and prompt:
        if all(isinstance(item, str) for item in prompt):
            return "\n".join(prompt)
        if all(type(item) is int for item in prompt):
            return " ".join(map(str, prompt))
    raise _BodyError("prompt", "expected text, or a list of texts or of tokens")


def _extract_messages(document: Json) -> str:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _BodyError("messages", "expected a list that is not empty")
    parts: list[str] = []
    for index, message in enumerate(messages):
        field = f"messages[{index}]"
        if not isinstance(message, dict):
            raise _BodyError(field, "expected an object")
        role = message.get("role")
        if not isinstance(role, str) or not role:
            raise _BodyError(f"{field}.role", "expected a role")
        parts.append(_extract_content(message.get("content"), f"{field}.content"))
    return "\n".join(parts)


def _extract_content(content: typing.Any, field: str) -> str:
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        raise _BodyError(field, "expected text or a list of parts")
    texts: list[str] = []
    for index, part in enumerate(content):
        if not isinstance(part, dict):
            raise _BodyError(f"{field}[{index}]", "expected an object")
        text = part.get("text", "")
        if not isinstance(text, str):
            raise _BodyError(f"{field}[{index}].text", "expected text")
        texts.append(text)
    return "\n".join(texts)


def _hash_document(document: Json, path: str) -> int:
    hashed_fields = {
        name: value for name, value in document.items() if name not in _UNHASHED_FIELDS
    }
    text = json.dumps(hashed_fields, sort_keys=True, separators=(",", ":"))
    return _hash_content(path, text.encode())


def _hash_content(path: str, content: bytes) -> int:
    digest = hashlib.blake2b(path.encode(), digest_size=8)
    digest.update(b"\x00")
    digest.update(content)
    return int.from_bytes(digest.digest(), "big")


def _determine_idempotency(
    head: heads.Head, idempotent_by_default: bool
) -> requests.Idempotency:
    if head.declared_idempotent is False:
        return requests.Idempotency.AT_MOST_ONCE
    if head.declared_idempotent or idempotent_by_default:
        return requests.Idempotency.IDEMPOTENT
    return requests.Idempotency.ONCE_PER_ARRIVAL


def _make_service_request(
    head: heads.Head,
    body: bytes,
    resolver: resolution.Resolver,
    data_centre: str,
    request_id: str,
    now: float,
) -> requests.Request:
    effective = resolver.resolve(
        data_centre, head.service, head.workspace, head.priority
    )
    deadline_ms = head.deadline_ms or effective.deadline_ms
    method = head.raw.method
    return requests.Request(
        request_id=request_id,
        workspace=head.workspace,
        service=head.service,
        model="",
        priority=head.priority,
        arrived_at=now,
        deadline_at=now + deadline_ms / 1000.0,
        idempotency=_determine_idempotency(head, method in heads.IDEMPOTENT_METHODS),
        idempotency_key=head.idempotency_key,
        mode=requests.AnswerMode.BODY,
        method=method,
        path=head.path,
        content_type=head.raw.headers.get("content-type", ""),
        body=body,
        fingerprint=_hash_content(f"{method} {head.service} {head.path}", body),
        prefix=0,
        prefix_blocks=(),
        cost_tokens=1.0 + len(body) / BYTES_PER_COST_TOKEN,
    )
