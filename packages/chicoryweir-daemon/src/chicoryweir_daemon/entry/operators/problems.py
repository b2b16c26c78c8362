"""Renders problem documents (RFC 9457) and other answers for operators."""

from __future__ import annotations

import typing

from litestar import response

from chicoryweir_policy.settings import answers

Json = dict[str, typing.Any]

CONTENT_TYPE = "application/problem+json"
JSON_TYPE = "application/json"
MIN_PROBLEM_STATUS = 400


def make_problem(
    status: int, title: str, detail: str, **extra: typing.Any
) -> response.Response[Json]:
    """Returns a problem answer; `extra` adds members to the document."""
    slug = title.lower().replace(" ", "-")
    document = {
        "type": f"urn:chicoryweir:problem:{slug}",
        "title": title,
        "status": status,
        "detail": detail,
        **extra,
    }
    return response.Response(document, status_code=status, media_type=CONTENT_TYPE)


def render_answer(answer: answers.Answer) -> response.Response[Json]:
    """Returns an answer as an HTTP response; errors are problem documents."""
    media_type = CONTENT_TYPE if answer.status >= MIN_PROBLEM_STATUS else JSON_TYPE
    return response.Response(
        answer.body, status_code=answer.status, media_type=media_type
    )
