"""Claims keys of at-most-once requests before anything is sent, in batches."""

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
from chicoryweir_policy.cores.entry import lives
from chicoryweir_policy.cores.entry import problems
from chicoryweir_policy.cores.entry import state as entry_state

MAX_BATCH = 64
MAX_FLUSHES = 4
MAX_UNKNOWN = 3
STORE_RETRY_MS = 2000

Submit = collections.abc.Callable[
    [lives.Live, lives.Dispatch, float, entry_state.Commands], None
]


@dataclasses.dataclass(slots=True)
class Pending:
    """A claim that is being written.

    Attributes:
        live: The request.
        dispatch: The attempt that may run under it.
        claim: The row's value.
        version: Version that the row must have; 0 for none.
        unknown: Replies that were lost for it.
    """

    live: lives.Live
    dispatch: lives.Dispatch
    claim: records.Claim
    version: int
    unknown: int = 0

    @property
    def key(self) -> str:
        """Key of the row."""
        return records.find_key(self.live.request)


@dataclasses.dataclass(frozen=True, slots=True)
class _Flush:
    batch: tuple[Pending, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Closing:
    """A write that nothing waits for."""


class Claimer:
    """Writes claims; several wait for one transaction while others are under way."""

    def __init__(self, state: entry_state.EntryState) -> None:
        self._state = state
        self._submit: Submit | None = None
        self._waiting: list[Pending] = []
        self._closing: list[store.Write] = []
        self._flushes = 0
        self._asked: dict[str, list[tuple[Pending, int]]] = {}

    def connect(self, submit: Submit) -> None:
        """Sets what sends an attempt once its claim is held."""
        self._submit = submit

    def claim(
        self,
        live: lives.Live,
        dispatch: lives.Dispatch,
        link: entry_state.AgentLink,
        out: entry_state.Commands,
    ) -> None:
        """Starts to claim the key of a request for an attempt."""
        live.claim_tried = True
        claim = records.Claim(
            token=live.request.request_id,
            fingerprint=records.digest_request(live.request),
            attempt_id=dispatch.attempt_id,
            agent=dispatch.instance,
            agent_incarnation=link.incarnation,
            state=records.ClaimState.OPEN,
        )
        self._waiting.append(Pending(live, dispatch, claim, live.claim_version))
        self.flush(out)

    def flush(self, out: entry_state.Commands) -> None:
        """Writes what waits, as far as transactions may be under way."""
        while self._waiting and self._flushes < MAX_FLUSHES:
            batch, rest = _split_batch(self._waiting)
            self._waiting = rest
            self._flushes += 1
            checks = tuple(store.Check(item.key, item.version) for item in batch)
            writes = tuple(
                store.Write(item.key, records.encode_claim(item.claim))
                for item in batch
            )
            operation = store.Transact(checks, writes)
            out.append(self._state.operations.register(operation, _Flush(tuple(batch))))
        if self._closing and self._flushes < MAX_FLUSHES:
            closing = self._closing[:MAX_BATCH]
            self._closing = self._closing[MAX_BATCH:]
            self._flushes += 1
            operation = store.Transact((), tuple(closing))
            out.append(self._state.operations.register(operation, _Closing()))

    def consume_reply(
        self,
        purpose: typing.Any,
        result: store.Result,
        now: float,
        out: entry_state.Commands,
    ) -> bool:
        """Takes the end of a transaction; False when it was not ours."""
        match purpose:
            case _Closing():
                self._flushes -= 1
            case _Flush():
                self._flushes -= 1
                self._settle(purpose.batch, result, now, out)
            case _:
                return False
        self.flush(out)
        return True

    def _settle(
        self,
        batch: tuple[Pending, ...],
        result: store.Result,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        match result:
            case store.Committed():
                for pending in batch:
                    self._hold(pending, result.versions[pending.key], now, out)
            case store.Conflicted():
                rows = {row.key: row for row in result.rows}
                for pending in batch:
                    self._judge_row(pending, rows.get(pending.key), now, out)
            case store.Unknown():
                for pending in batch:
                    self._try_again(pending, result.detail, now, out)
            case _:
                for pending in batch:
                    self._refuse_store(pending, str(result), now, out)

    def _try_again(
        self, pending: Pending, detail: str, now: float, out: entry_state.Commands
    ) -> None:
        """Writes again: if the lost write took effect, the conflict shows our token."""
        pending.unknown += 1
        if pending.unknown >= MAX_UNKNOWN:
            self._refuse_store(pending, detail, now, out)
            return
        self._waiting.append(pending)

    def _refuse_store(
        self, pending: Pending, detail: str, now: float, out: entry_state.Commands
    ) -> None:
        if not self._is_wanted(pending):
            return
        problem = problems.make_claim_unavailable(
            self._state.facts.instance, detail, STORE_RETRY_MS
        )
        self._state.refuse(pending.live, problem, now, out)

    def _is_wanted(self, pending: Pending) -> bool:
        request_id = pending.live.request.request_id
        return self._state.requests.find(request_id) is pending.live

    def _hold(
        self, pending: Pending, version: int, now: float, out: entry_state.Commands
    ) -> None:
        pending.live.claim_version = version
        if not self._is_wanted(pending) or pending.live.abandoned:
            self.release(pending.live, out)
            return
        if self._submit is not None:
            self._submit(pending.live, pending.dispatch, now, out)

    def _judge_row(
        self,
        pending: Pending,
        row: store.Row | None,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        if row is None or row.version == pending.version:
            pending.version = 0 if row is None else row.version
            self._waiting.append(pending)
            return
        claim = records.decode_claim(row.value)
        judgement = decisions.judge_claim(
            claim,
            pending.claim.token,
            pending.claim.fingerprint,
            self._state.list_incarnations(),
        )
        self._act(pending, judgement, row, now, out)

    def _act(
        self,
        pending: Pending,
        judgement: decisions.Judgement,
        row: store.Row,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        peer = self._state.facts.instance
        match judgement:
            case decisions.Held():
                self._hold_again(pending, row, now, out)
            case decisions.OtherContent():
                self._refuse(pending, problems.make_other_content(peer), now, out)
            case decisions.AlreadyRun():
                self._refuse(pending, problems.make_already_run(peer), now, out)
            case decisions.InProgress():
                self._refuse(pending, problems.make_in_progress(peer), now, out)
            case decisions.MayHaveRun():
                self._refuse(pending, problems.make_may_have_run(peer), now, out)
            case decisions.AskAgent():
                self._ask(pending, judgement, row.version, out)
            case decisions.TakeOver():
                self._take_over(pending, row.version, out)
            case _:
                typing.assert_never(judgement)

    def _hold_again(
        self,
        pending: Pending,
        row: store.Row,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        claim = records.decode_claim(row.value)
        if claim == pending.claim:
            self._hold(pending, row.version, now, out)
            return
        pending.version = row.version
        self._waiting.append(pending)

    def _refuse(
        self,
        pending: Pending,
        problem: outcomes.Problem,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        if self._is_wanted(pending):
            self._state.refuse(pending.live, problem, now, out)

    def _ask(
        self,
        pending: Pending,
        judgement: decisions.AskAgent,
        version: int,
        out: entry_state.Commands,
    ) -> None:
        link = self._state.agents[judgement.agent]
        asked = self._asked.setdefault(judgement.attempt_id, [])
        asked.append((pending, version))
        query = messages.QueryAttempt(judgement.attempt_id)
        self._state.send(link, query, out)

    def consume_status(
        self, status: messages.AttemptStatus, now: float, out: entry_state.Commands
    ) -> None:
        """Takes an agent's word on the attempt of a claim that is in the way."""
        judgement = decisions.judge_state(status.state)
        for pending, version in self._asked.pop(status.attempt_id, ()):
            row = store.Row(pending.key, version, None)
            self._act(pending, judgement, row, now, out)
        self.flush(out)

    def _take_over(
        self, pending: Pending, version: int, out: entry_state.Commands
    ) -> None:
        pending.version = version
        self._waiting.append(pending)
        out.append(
            commands.Record(
                catalogue.CLAIM_TAKEN_OVER,
                pending.live.request.request_id,
                pending.claim.agent,
                pending.key,
            )
        )

    def release(self, live: lives.Live, out: entry_state.Commands) -> None:
        """Gives up the claim of a request that never ran."""
        if live.claim_version == 0 or live.may_have_run:
            return
        key = records.find_key(live.request)
        check = (store.Check(key, live.claim_version),)
        operation = store.Transact(check, (store.Write(key, None),))
        self._flushes += 1
        out.append(self._state.operations.register(operation, _Closing()))
        live.claim_version = 0

    def close(self, live: lives.Live, dispatch: lives.Dispatch) -> None:
        """Notes that a claimed request ran to its end, with the next writes."""
        if live.claim_version == 0:
            return
        request = live.request
        claim = records.Claim(
            token=request.request_id,
            fingerprint=records.digest_request(live.request),
            attempt_id=dispatch.attempt_id,
            agent=dispatch.instance,
            agent_incarnation="",
            state=records.ClaimState.DONE,
        )
        key = records.find_key(request)
        self._closing.append(store.Write(key, records.encode_claim(claim)))


def _split_batch(waiting: list[Pending]) -> tuple[list[Pending], list[Pending]]:
    """Takes a batch in which each key stands once."""
    batch: dict[str, Pending] = {}
    rest: list[Pending] = []
    for pending in waiting:
        if len(batch) < MAX_BATCH and pending.key not in batch:
            batch[pending.key] = pending
        else:
            rest.append(pending)
    return list(batch.values()), rest
