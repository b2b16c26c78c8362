"""Problem answers to operators."""

from __future__ import annotations

import typing

from litestar import response

Json = dict[str, typing.Any]

CONTENT_TYPE = "application/problem+json"


def make_problem(
    status: int, title: str, detail: str, **extra: typing.Any
) -> response.Response[Json]:
    """Returns a problem answer with further members."""
    slug = title.lower().replace(" ", "-")
    document = {
        "type": f"urn:chicoryweir:problem:{slug}",
        "title": title,
        "status": status,
        "detail": detail,
        **extra,
    }
    return response.Response(document, status_code=status, media_type=CONTENT_TYPE)
