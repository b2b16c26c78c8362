"""Reads the claim of a key before a problem reports that the request did not run.

Even if this request did not run, an earlier request with the same key may have run.
"""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy import store
from chicoryweir_policy.claims import decisions
from chicoryweir_policy.claims import records
from chicoryweir_policy.cores.entry import active_requests
from chicoryweir_policy.cores.entry import problems
from chicoryweir_policy.cores.entry import state as entry_state


@dataclasses.dataclass(frozen=True, slots=True)
class _Verification:
    """Purpose of a read of a claim, with the problem to verify."""

    request_id: str
    problem: outcomes.Problem


class ClaimVerifier:
    """Reads the claim of a request once, before the request ends with a problem."""

    def __init__(self, state: entry_state.EntryState) -> None:
        self._state = state
        state.verify = self.verify

    def verify(
        self,
        active: active_requests.ActiveRequest,
        problem: outcomes.Problem,
        out: entry_state.Commands,
    ) -> bool:
        """Starts to read the claim; returns False if no verification is needed."""
        at_most_once = requests.Idempotency.AT_MOST_ONCE
        if active.request.idempotency is not at_most_once or active.claim_checked:
            return False
        if problem.outcome is not outcomes.Outcome.NOT_RUN or active.abandoned:
            return False
        active.claim_checked = True
        active.expired = True
        purpose = _Verification(active.request.request_id, problem)
        operation = store.Read((records.make_request_key(active.request),))
        out.append(self._state.operations.register(operation, purpose))
        return True

    def handle_reply(
        self,
        purpose: typing.Any,
        result: store.Result,
        now: float,
        out: entry_state.Commands,
    ) -> bool:
        """Handles a store reply; returns False if it belongs to another part."""
        if not isinstance(purpose, _Verification):
            return False
        active = self._state.requests.find(purpose.request_id)
        if active is not None:
            problem = self._choose_problem(active, purpose.problem, result)
            self._state.end_with_problem(active, problem, now, out)
        return True

    def _choose_problem(
        self,
        active: active_requests.ActiveRequest,
        problem: outcomes.Problem,
        result: store.Result,
    ) -> outcomes.Problem:
        request = active.request
        row = None
        if isinstance(result, store.Rows):
            row = result.find(records.make_request_key(request))
        if row is None:
            return problem
        claim_check = decisions.check_claim(
            records.decode_claim(row.value),
            request.request_id,
            records.digest_request(request),
            {},
        )
        peer = self._state.config.instance
        match claim_check:
            case decisions.ContentMismatch():
                return problems.make_other_content(peer)
            case decisions.AlreadyRun():
                return problems.make_already_run(peer)
            case _:
                detail = "an earlier request with this Idempotency-Key may have run"
                return dataclasses.replace(
                    problem,
                    outcome=outcomes.Outcome.UNKNOWN,
                    detail=f"{problem.detail}; {detail}",
                )
