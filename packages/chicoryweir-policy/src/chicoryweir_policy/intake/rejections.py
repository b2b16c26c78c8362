"""Problems of requests whose form is wrong."""

from __future__ import annotations

from chicoryweir_policy import outcomes

STEP = "intake"


def make_bad_field(field: str, detail: str) -> outcomes.Problem:
    """A field has a value that is not allowed."""
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
    """The caller is not known."""
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
    """The caller may not do this."""
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
    """No service or model has this name."""
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
    """The path takes another method."""
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
    """A part of the request is over its limit."""
    return outcomes.Problem(
        413,
        "Too large",
        f"{field} over {limit_bytes} bytes",
        outcomes.Outcome.NOT_RUN,
        STEP,
        "",
        field=field,
    )
