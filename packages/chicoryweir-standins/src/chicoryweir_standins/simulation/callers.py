"""Callers of a world, and what they were told."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy.cores import commands
from chicoryweir_standins.simulation import endpoints

ABANDONED = "gone"
MAX_LOST_TO_POISON = 2
CONFLICT_STATUS = 409


class BrokenGuaranteeError(AssertionError):
    """A guarantee did not hold."""


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """What the caller of one request got.

    Attributes:
        request: The request.
        entry: Entry it went to.
        pieces: Pieces of the answer.
        begun: Whether the answer began.
        final: `answered`, `refused`, `aborted`, or empty while open.
        problem: The problem of a refused request.
    """

    request: requests.Request
    entry: str
    payloads: list[bytes] = dataclasses.field(default_factory=list)
    answer_begun: bool = False
    end_state: str = ""
    problem: outcomes.Problem | None = None


class Callers:
    """All requests of a world."""

    def __init__(self) -> None:
        self.records: dict[str, RequestRecord] = {}

    def add(self, request: requests.Request, entry: str) -> None:
        """Notes a request."""
        self.records[request.request_id] = RequestRecord(request, entry)

    def list_open(self, entry: str) -> list[RequestRecord]:
        """Returns the requests of an entry without a final answer."""
        return [
            record
            for record in self.records.values()
            if record.entry == entry and not record.end_state
        ]

    def break_connections(self, entry: str) -> None:
        """The entry died: its callers' connections break."""
        for record in self.list_open(entry):
            record.end_state = "cut"

    def apply_command(self, command: commands.Command) -> None:
        """Takes a command for a caller; one that is gone hears nothing."""
        request_id = getattr(command, "request_id", "")
        if (
            request_id in self.records
            and self.records[request_id].end_state == ABANDONED
        ):
            return
        match command:
            case commands.BeginAnswer(request_id):
                self._open(request_id).answer_begun = True
            case commands.SendAnswer(request_id, payloads):
                self._open(request_id).payloads.extend(payloads)
            case commands.EndAnswer(request_id):
                record = self._open(request_id)
                record.end_state = "answered"
                self._check_whole(record)
            case commands.RejectRequest(request_id, problem):
                record = self._open(request_id)
                if record.answer_begun:
                    raise BrokenGuaranteeError(f"{request_id} refused after it began")
                record.end_state = "refused"
                record.problem = problem
            case commands.AbortAnswer(request_id, problem):
                record = self._open(request_id)
                record.end_state = "aborted"
                record.problem = problem
            case _:
                pass

    def _open(self, request_id: str) -> RequestRecord:
        record = self.records[request_id]
        if record.end_state:
            raise BrokenGuaranteeError(
                f"{request_id} answered after {record.end_state}"
            )
        return record

    def _check_whole(self, record: RequestRecord) -> None:
        expected = endpoints.compute_answer(record.request.body)
        if tuple(record.payloads) != expected:
            raise BrokenGuaranteeError(
                f"{record.request.request_id} got {record.payloads}, expected {expected}"
            )

    def check_runs(self, runs: list[endpoints.Run]) -> None:
        """Checks what callers were told against all runs at the endpoints."""
        by_request: dict[str, int] = {}
        for run in runs:
            by_request[run.request_id] = by_request.get(run.request_id, 0) + 1
        by_key: dict[tuple[str, str], int] = {}
        for request_id, record in self.records.items():
            count = by_request.get(request_id, 0)
            problem = record.problem
            if count and problem and problem.outcome is outcomes.Outcome.NOT_RUN:
                raise BrokenGuaranteeError(
                    f"{request_id} ran, reported as not run: {problem}"
                )
            request = record.request
            if request.idempotency is requests.Idempotency.AT_MOST_ONCE:
                key = (request.workspace, request.idempotency_key)
                by_key[key] = by_key.get(key, 0) + count
            if request.idempotency is requests.Idempotency.ONCE_PER_ARRIVAL:
                by_key[("", request_id)] = count
        for key, count in by_key.items():
            if count > 1:
                raise BrokenGuaranteeError(f"{key} ran {count} times")
        self._check_duplicates()

    def _check_duplicates(self) -> None:
        """Nobody may be told of a run that another workspace's key stands for."""
        asked: dict[tuple[str, str], int] = {}
        for record in self.records.values():
            key = (record.request.workspace, record.request.idempotency_key)
            asked[key] = asked.get(key, 0) + 1
        for record in self.records.values():
            problem = record.problem
            key = (record.request.workspace, record.request.idempotency_key)
            ran = problem and problem.outcome is outcomes.Outcome.ALREADY_RUN
            other = problem and problem.status == CONFLICT_STATUS
            if (ran or other) and asked[key] == 1:
                raise BrokenGuaranteeError(
                    f"{record.request.request_id} is the only one with {key}: {problem}"
                )


def check_poison(runs: list[endpoints.Run]) -> None:
    """Checks how many endpoints each poisonous content took down."""
    lost: dict[bytes, set[str]] = {}
    for run in runs:
        if run.body.startswith(endpoints.POISON):
            lost.setdefault(run.body, set()).add(run.incarnation)
    for body, incarnations in lost.items():
        if len(incarnations) > MAX_LOST_TO_POISON:
            raise BrokenGuaranteeError(f"{body!r} killed {sorted(incarnations)}")
