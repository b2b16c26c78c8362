"""Writes the claims of at-most-once requests to the store, in batches.

An attempt is submitted only after its request has claimed its key.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from chicoryweir_policy import catalogue
from chicoryweir_policy import messages
from chicoryweir_policy import outcomes
from chicoryweir_policy import store
from chicoryweir_policy.claims import decisions
from chicoryweir_policy.claims import records
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores.entry import active_requests
from chicoryweir_policy.cores.entry import problems
from chicoryweir_policy.cores.entry import state as entry_state

MAX_BATCH_ROWS = 64
MAX_TRANSACTIONS_IN_FLIGHT = 4
MAX_LOST_REPLIES = 3
STORE_RETRY_AFTER_MS = 2000

Submit = collections.abc.Callable[
    [
        active_requests.ActiveRequest,
        active_requests.Attempt,
        float,
        entry_state.Commands,
    ],
    None,
]


@dataclasses.dataclass(slots=True)
class PendingClaim:
    """A claim that is queued or being written.

    Attributes:
        active: The request.
        attempt: The attempt to submit once the claim is held.
        claim: Value to write to the row.
        version: Expected version of the row; 0 if it must not exist.
        lost_replies: Number of writes whose reply was lost.
    """

    active: active_requests.ActiveRequest
    attempt: active_requests.Attempt
    claim: records.Claim
    version: int
    lost_replies: int = 0

    @property
    def key(self) -> str:
        """Key of the claim's row."""
        return records.make_request_key(self.active.request)


@dataclasses.dataclass(frozen=True, slots=True)
class _ClaimBatch:
    """Purpose of a transaction that writes claims."""

    batch: tuple[PendingClaim, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _UnawaitedWrite:
    """Purpose of a transaction whose result is ignored."""


class ClaimWriter:
    """Writes claims in batched transactions.

    While `MAX_TRANSACTIONS_IN_FLIGHT` transactions are in flight, claims are queued for
    the next one.
    """

    def __init__(self, state: entry_state.EntryState) -> None:
        self._state = state
        self._submit: Submit | None = None
        self._queue: list[PendingClaim] = []
        self._done_writes: list[store.Write] = []
        self._transactions_in_flight = 0
        self._queries: dict[str, list[tuple[PendingClaim, int]]] = {}

    def set_submit(self, submit: Submit) -> None:
        """Sets the function that submits an attempt once its claim is held."""
        self._submit = submit

    def claim(
        self,
        active: active_requests.ActiveRequest,
        attempt: active_requests.Attempt,
        link: entry_state.AgentLink,
        out: entry_state.Commands,
    ) -> None:
        """Queues the claim of a request's key for an attempt."""
        active.claim_checked = True
        claim = records.Claim(
            token=active.request.request_id,
            fingerprint=records.digest_request(active.request),
            attempt_id=attempt.attempt_id,
            agent=attempt.instance,
            agent_incarnation=link.incarnation,
            state=records.ClaimState.OPEN,
        )
        self._queue.append(PendingClaim(active, attempt, claim, active.claim_version))
        self.flush(out)

    def flush(self, out: entry_state.Commands) -> None:
        """Writes queued claims, up to the limit of transactions in flight."""
        while self._queue and self._transactions_in_flight < MAX_TRANSACTIONS_IN_FLIGHT:
            batch, remaining = _split_batch(self._queue)
            self._queue = remaining
            self._transactions_in_flight += 1
            checks = tuple(store.Check(item.key, item.version) for item in batch)
            writes = tuple(
                store.Write(item.key, records.encode_claim(item.claim))
                for item in batch
            )
            operation = store.Transact(checks, writes)
            out.append(
                self._state.operations.register(operation, _ClaimBatch(tuple(batch)))
            )
        if (
            self._done_writes
            and self._transactions_in_flight < MAX_TRANSACTIONS_IN_FLIGHT
        ):
            done_writes = self._done_writes[:MAX_BATCH_ROWS]
            self._done_writes = self._done_writes[MAX_BATCH_ROWS:]
            self._transactions_in_flight += 1
            operation = store.Transact((), tuple(done_writes))
            out.append(self._state.operations.register(operation, _UnawaitedWrite()))

    def handle_reply(
        self,
        purpose: typing.Any,
        result: store.Result,
        now: float,
        out: entry_state.Commands,
    ) -> bool:
        """Handles a store reply; returns False if it belongs to another part."""
        match purpose:
            case _UnawaitedWrite():
                self._transactions_in_flight -= 1
            case _ClaimBatch():
                self._transactions_in_flight -= 1
                self._handle_result(purpose.batch, result, now, out)
            case _:
                return False
        self.flush(out)
        return True

    def _handle_result(
        self,
        batch: tuple[PendingClaim, ...],
        result: store.Result,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        match result:
            case store.Committed():
                for pending in batch:
                    self._handle_held(pending, result.versions[pending.key], now, out)
            case store.Conflicted():
                rows = {row.key: row for row in result.rows}
                for pending in batch:
                    self._handle_row(pending, rows.get(pending.key), now, out)
            case store.Unknown():
                for pending in batch:
                    self._write_again(pending, result.detail, now, out)
            case _:
                for pending in batch:
                    self._fail_unavailable(pending, str(result), now, out)

    def _write_again(
        self, pending: PendingClaim, detail: str, now: float, out: entry_state.Commands
    ) -> None:
        """Writes a claim again after its reply was lost.

        If the earlier write took effect, this one conflicts with a row that has this
        request's token.
        """
        pending.lost_replies += 1
        if pending.lost_replies >= MAX_LOST_REPLIES:
            self._fail_unavailable(pending, detail, now, out)
            return
        self._queue.append(pending)

    def _fail_unavailable(
        self, pending: PendingClaim, detail: str, now: float, out: entry_state.Commands
    ) -> None:
        if not self._is_active(pending):
            return
        problem = problems.make_claim_unavailable(
            self._state.config.instance, detail, STORE_RETRY_AFTER_MS
        )
        self._state.end_with_problem(pending.active, problem, now, out)

    def _is_active(self, pending: PendingClaim) -> bool:
        request_id = pending.active.request.request_id
        return self._state.requests.find(request_id) is pending.active

    def _handle_held(
        self, pending: PendingClaim, version: int, now: float, out: entry_state.Commands
    ) -> None:
        pending.active.claim_version = version
        if not self._is_active(pending) or pending.active.abandoned:
            self.release(pending.active, out)
            return
        if self._submit is not None:
            self._submit(pending.active, pending.attempt, now, out)

    def _handle_row(
        self,
        pending: PendingClaim,
        row: store.Row | None,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        if row is None or row.version == pending.version:
            pending.version = 0 if row is None else row.version
            self._queue.append(pending)
            return
        claim = records.decode_claim(row.value)
        claim_check = decisions.check_claim(
            claim,
            pending.claim.token,
            pending.claim.fingerprint,
            self._state.list_incarnations(),
        )
        self._handle_check(pending, claim_check, row, now, out)

    def _handle_check(
        self,
        pending: PendingClaim,
        claim_check: decisions.ClaimCheck,
        row: store.Row,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        peer = self._state.config.instance
        match claim_check:
            case decisions.OwnClaim():
                self._handle_held_row(pending, row, now, out)
            case decisions.ContentMismatch():
                self._end_with_problem(
                    pending, problems.make_other_content(peer), now, out
                )
            case decisions.AlreadyRun():
                self._end_with_problem(
                    pending, problems.make_already_run(peer), now, out
                )
            case decisions.InProgress():
                self._end_with_problem(
                    pending, problems.make_in_progress(peer), now, out
                )
            case decisions.MayHaveRun():
                self._end_with_problem(
                    pending, problems.make_may_have_run(peer), now, out
                )
            case decisions.QueryAgent():
                self._query_agent(pending, claim_check, row.version, out)
            case decisions.TakeOver():
                self._take_over(pending, row.version, out)
            case _:
                typing.assert_never(claim_check)

    def _handle_held_row(
        self,
        pending: PendingClaim,
        row: store.Row,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        claim = records.decode_claim(row.value)
        if claim == pending.claim:
            self._handle_held(pending, row.version, now, out)
            return
        pending.version = row.version
        self._queue.append(pending)

    def _end_with_problem(
        self,
        pending: PendingClaim,
        problem: outcomes.Problem,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        if self._is_active(pending):
            self._state.end_with_problem(pending.active, problem, now, out)

    def _query_agent(
        self,
        pending: PendingClaim,
        claim_check: decisions.QueryAgent,
        version: int,
        out: entry_state.Commands,
    ) -> None:
        link = self._state.agent_links[claim_check.agent]
        queries = self._queries.setdefault(claim_check.attempt_id, [])
        queries.append((pending, version))
        query = messages.QueryAttempt(claim_check.attempt_id)
        self._state.send(link, query, out)

    def handle_status(
        self, status: messages.AttemptStatus, now: float, out: entry_state.Commands
    ) -> None:
        """Handles an agent's report on the attempt that holds a conflicting claim."""
        claim_check = decisions.check_attempt_state(status.state)
        for pending, version in self._queries.pop(status.attempt_id, ()):
            row = store.Row(pending.key, version, None)
            self._handle_check(pending, claim_check, row, now, out)
        self.flush(out)

    def _take_over(
        self, pending: PendingClaim, version: int, out: entry_state.Commands
    ) -> None:
        pending.version = version
        self._queue.append(pending)
        out.append(
            commands.LogEvent(
                catalogue.CLAIM_TAKEN_OVER,
                pending.active.request.request_id,
                pending.claim.agent,
                pending.key,
            )
        )

    def release(
        self, active: active_requests.ActiveRequest, out: entry_state.Commands
    ) -> None:
        """Deletes the claim of a request that never ran."""
        if active.claim_version == 0 or active.may_have_run:
            return
        key = records.make_request_key(active.request)
        check = (store.Check(key, active.claim_version),)
        operation = store.Transact(check, (store.Write(key, None),))
        self._transactions_in_flight += 1
        out.append(self._state.operations.register(operation, _UnawaitedWrite()))
        active.claim_version = 0

    def mark_done(
        self, active: active_requests.ActiveRequest, attempt: active_requests.Attempt
    ) -> None:
        """Queues a write that marks a completed request's claim as done."""
        if active.claim_version == 0:
            return
        request = active.request
        claim = records.Claim(
            token=request.request_id,
            fingerprint=records.digest_request(active.request),
            attempt_id=attempt.attempt_id,
            agent=attempt.instance,
            agent_incarnation="",
            state=records.ClaimState.DONE,
        )
        key = records.make_request_key(request)
        self._done_writes.append(store.Write(key, records.encode_claim(claim)))


def _split_batch(
    queue: list[PendingClaim],
) -> tuple[list[PendingClaim], list[PendingClaim]]:
    """Splits a queue into a batch with distinct keys and the remaining claims."""
    batch: dict[str, PendingClaim] = {}
    remaining: list[PendingClaim] = []
    for pending in queue:
        if len(batch) < MAX_BATCH_ROWS and pending.key not in batch:
            batch[pending.key] = pending
        else:
            remaining.append(pending)
    return list(batch.values()), remaining
