"""Tasks and state shared by the operators' routes."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import litestar
from litestar import response

from chicoryweir_daemon import logs
from chicoryweir_daemon.entry import outcome_window
from chicoryweir_daemon.entry.operators import authentication
from chicoryweir_daemon.entry.operators import explanations
from chicoryweir_daemon.runtime import cores
from chicoryweir_platform import protocols
from chicoryweir_policy.cores.entry import core as entry_core

MAX_PAGE_RECORDS = 5000

Json = dict[str, typing.Any]
Answer = response.Response[Json]
Request = litestar.Request[typing.Any, typing.Any, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorContext:
    """Tasks and state that the operators' routes use.

    Attributes:
        core: The entry's core; the routes only read its state.
        core_task: Task that runs the core; receives the routes' events.
        platform_store: Store of the platform.
        window: Outcomes of recent requests.
        log: Event log of this entry.
        explainer: Collects the daemons' notes on a request.
        is_store_up: Returns whether the last call to the store succeeded.
    """

    core: entry_core.EntryCore
    core_task: cores.CoreTask
    platform_store: protocols.Store
    window: outcome_window.OutcomeWindow
    log: logs.EventLog
    explainer: explanations.Explainer
    is_store_up: collections.abc.Callable[[], bool]

    def find_operator(self, request: Request) -> str | None:
        """Returns the operator whose key a request carries, or None."""
        authorization = request.headers.get("authorization", "")
        return authentication.find_operator(
            authorization, self.core.state.settings.tree
        )
