"""Problems returned for invalid requests."""

from __future__ import annotations

from chicoryweir_policy import outcomes

STEP = "intake"


def make_bad_field(field: str, detail: str) -> outcomes.Problem:
    """Makes the problem for a field with an invalid value."""
    return outcomes.Problem(
        400,
        "Bad request",
        f"{field}: {detail}",
        outcomes.Outcome.NOT_RUN,
        STEP,
        "",
        field=field,
    )


def make_unauthorized(detail: str) -> outcomes.Problem:
    """Makes the problem for a caller that cannot be authenticated."""
    return outcomes.Problem(
        401,
        "Unauthorized",
        detail,
        outcomes.Outcome.NOT_RUN,
        STEP,
        "",
        field="Authorization",
    )


def make_forbidden(detail: str) -> outcomes.Problem:
    """Makes the problem for a caller without permission for the workspace."""
    return outcomes.Problem(
        403,
        "Forbidden",
        detail,
        outcomes.Outcome.NOT_RUN,
        STEP,
        "",
        field="X-Workspace",
    )


def make_unknown(field: str, name: str) -> outcomes.Problem:
    """Makes the problem for an unknown service, model or path."""
    return outcomes.Problem(
        404,
        f"Unknown {field}",
        f"no {field} is named {name[:100]!r}",
        outcomes.Outcome.NOT_RUN,
        STEP,
        "",
        field=field,
    )


def make_wrong_method(method: str) -> outcomes.Problem:
    """Makes the problem for a method that the path does not support."""
    return outcomes.Problem(
        405,
        "Method not allowed",
        f"expected POST, found {method[:20]}",
        outcomes.Outcome.NOT_RUN,
        STEP,
        "",
        field="method",
    )


def make_too_large(field: str, limit_bytes: int) -> outcomes.Problem:
    """Makes the problem for a part of the request that exceeds its size limit."""
    return outcomes.Problem(
        413,
        "Too large",
        f"{field} over {limit_bytes} bytes",
        outcomes.Outcome.NOT_RUN,
        STEP,
        "",
        field=field,
    )
