"""Router of the operators' HTTP interface; each route requires an operator's key."""

from __future__ import annotations

import litestar

from chicoryweir_daemon.entry.operators import contexts
from chicoryweir_daemon.entry.operators import problems
from chicoryweir_daemon.entry.operators import settings_routes
from chicoryweir_daemon.entry.operators import state_routes

MAX_BODY_BYTES = 32 << 20


def make_router(context: contexts.OperatorContext) -> litestar.Router:
    """Returns the router of the operators' interface."""

    async def require_operator(request: contexts.Request) -> contexts.Answer | None:
        if context.find_operator(request) is None:
            detail = "expected `Authorization: Bearer KEY` with an operator's key"
            return problems.make_problem(401, "Unauthorized", detail)
        return None

    return litestar.Router(
        "/operator",
        route_handlers=[
            *settings_routes.make_settings_routes(context),
            *state_routes.make_state_routes(context),
        ],
        before_request=require_operator,
        request_max_body_size=MAX_BODY_BYTES,
    )
