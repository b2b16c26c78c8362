"""Callers of a simulation and the answers that they received."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy.cores import commands
from chicoryweir_standins.simulation import endpoints

ABANDONED = "gone"
MAX_POISON_CRASHES = 2
CONFLICT_STATUS = 409


class BrokenGuaranteeError(AssertionError):
    """A guarantee did not hold."""


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """One request and the answer to its caller.

    Attributes:
        request: The request.
        entry: Entry that received it.
        payloads: Payloads of the answer so far.
        answer_begun: Whether the answer began.
        end_state: `answered`, `refused`, `aborted`, `cut`, `gone`, or empty while
            the request is open.
        problem: The problem of a rejected or aborted request.
    """

    request: requests.Request
    entry: str
    payloads: list[bytes] = dataclasses.field(default_factory=list)
    answer_begun: bool = False
    end_state: str = ""
    problem: outcomes.Problem | None = None


class Callers:
    """All requests of a simulation."""

    def __init__(self) -> None:
        self.records: dict[str, RequestRecord] = {}

    def add(self, request: requests.Request, entry: str) -> None:
        """Records a request."""
        self.records[request.request_id] = RequestRecord(request, entry)

    def list_open(self, entry: str) -> list[RequestRecord]:
        """Returns the requests of an entry that have not ended."""
        return [
            record
            for record in self.records.values()
            if record.entry == entry and not record.end_state
        ]

    def break_connections(self, entry: str) -> None:
        """Breaks the connections of an entry's callers after the entry died."""
        for record in self.list_open(entry):
            record.end_state = "cut"

    def apply_command(self, command: commands.Command) -> None:
        """Applies a core's command to its request, unless the caller disconnected.

        Raises:
            BrokenGuaranteeError: The command contradicts the answer so far.
        """
        request_id = getattr(command, "request_id", "")
        if (
            request_id in self.records
            and self.records[request_id].end_state == ABANDONED
        ):
            return
        match command:
            case commands.BeginAnswer(request_id):
                self._get_open(request_id).answer_begun = True
            case commands.SendAnswer(request_id, payloads):
                self._get_open(request_id).payloads.extend(payloads)
            case commands.EndAnswer(request_id):
                record = self._get_open(request_id)
                record.end_state = "answered"
                self._check_complete(record)
            case commands.RejectRequest(request_id, problem):
                record = self._get_open(request_id)
                if record.answer_begun:
                    raise BrokenGuaranteeError(
                        f"{request_id} refused after its answer began"
                    )
                record.end_state = "refused"
                record.problem = problem
            case commands.AbortAnswer(request_id, problem):
                record = self._get_open(request_id)
                record.end_state = "aborted"
                record.problem = problem
            case _:
                pass

    def _get_open(self, request_id: str) -> RequestRecord:
        record = self.records[request_id]
        if record.end_state:
            raise BrokenGuaranteeError(
                f"{request_id} answered after {record.end_state}"
            )
        return record

    def _check_complete(self, record: RequestRecord) -> None:
        expected = endpoints.compute_answer(record.request.body)
        if tuple(record.payloads) != expected:
            raise BrokenGuaranteeError(
                f"{record.request.request_id} got {record.payloads}, "
                f"expected {expected}"
            )

    def check_runs(self, runs: list[endpoints.Run]) -> None:
        """Checks the answers to callers against all runs at the endpoints."""
        by_request: dict[str, int] = {}
        for run in runs:
            by_request[run.request_id] = by_request.get(run.request_id, 0) + 1
        by_key: dict[tuple[str, str], int] = {}
        for request_id, record in self.records.items():
            count = by_request.get(request_id, 0)
            problem = record.problem
            if count and problem and problem.outcome is outcomes.Outcome.NOT_RUN:
                raise BrokenGuaranteeError(
                    f"{request_id} ran but was reported as not run: {problem}"
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
        """Checks that only requests that share a key are reported as duplicates."""
        request_counts: dict[tuple[str, str], int] = {}
        for record in self.records.values():
            key = (record.request.workspace, record.request.idempotency_key)
            request_counts[key] = request_counts.get(key, 0) + 1
        for record in self.records.values():
            problem = record.problem
            key = (record.request.workspace, record.request.idempotency_key)
            already_run = problem and problem.outcome is outcomes.Outcome.ALREADY_RUN
            conflicts = problem and problem.status == CONFLICT_STATUS
            if (already_run or conflicts) and request_counts[key] == 1:
                raise BrokenGuaranteeError(
                    f"{record.request.request_id} is the only one with {key}: {problem}"
                )


def check_poison(runs: list[endpoints.Run]) -> None:
    """Checks that no body crashed more than `MAX_POISON_CRASHES` endpoints."""
    crashed_by_body: dict[bytes, set[str]] = {}
    for run in runs:
        if run.body.startswith(endpoints.POISON):
            crashed_by_body.setdefault(run.body, set()).add(run.incarnation)
    for body, incarnations in crashed_by_body.items():
        if len(incarnations) > MAX_POISON_CRASHES:
            raise BrokenGuaranteeError(f"{body!r} killed {sorted(incarnations)}")
