"""Reads the claim of a key before a request with it is told that it was not run.

An earlier request with the key may have run, although this one did not.
"""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy import store
from chicoryweir_policy.claims import decisions
from chicoryweir_policy.claims import records
from chicoryweir_policy.cores.entry import lives
from chicoryweir_policy.cores.entry import problems
from chicoryweir_policy.cores.entry import state as entry_state


@dataclasses.dataclass(frozen=True, slots=True)
class _Verification:
    """Purpose of a read: the request, and the problem it is about to get."""

    request_id: str
    problem: outcomes.Problem


class Verifier:
    """Holds a refusal until the claim was read, once for each request."""

    def __init__(self, state: entry_state.EntryState) -> None:
        self._state = state
        state.verify = self.verify

    def verify(
        self, live: lives.Live, problem: outcomes.Problem, out: entry_state.Commands
    ) -> bool:
        """Starts to read the claim; False when the refusal needs no check."""
        at_most_once = requests.Idempotency.AT_MOST_ONCE
        if live.request.idempotency is not at_most_once or live.claim_tried:
            return False
        if problem.outcome is not outcomes.Outcome.NOT_RUN or live.abandoned:
            return False
        live.claim_tried = True
        live.expired = True
        purpose = _Verification(live.request.request_id, problem)
        operation = store.Read((records.find_key(live.request),))
        out.append(self._state.operations.register(operation, purpose))
        return True

    def consume_reply(
        self,
        purpose: typing.Any,
        result: store.Result,
        now: float,
        out: entry_state.Commands,
    ) -> bool:
        """Takes the end of a read; False when it was not ours."""
        if not isinstance(purpose, _Verification):
            return False
        live = self._state.requests.find(purpose.request_id)
        if live is not None:
            problem = self._judge(live, purpose.problem, result)
            self._state.refuse(live, problem, now, out)
        return True

    def _judge(
        self, live: lives.Live, problem: outcomes.Problem, result: store.Result
    ) -> outcomes.Problem:
        request = live.request
        row = None
        if isinstance(result, store.Rows):
            row = result.find(records.find_key(request))
        if row is None:
            return problem
        judgement = decisions.judge_claim(
            records.decode_claim(row.value),
            request.request_id,
            records.digest_request(request),
            {},
        )
        peer = self._state.facts.instance
        match judgement:
            case decisions.OtherContent():
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
