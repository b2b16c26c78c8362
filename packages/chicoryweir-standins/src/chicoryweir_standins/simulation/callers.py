"""Callers of a world, and what they were told."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy.cores import commands
from chicoryweir_standins.simulation import endpoints

GONE = "gone"
MAX_LOST_TO_POISON = 2
CONFLICT_STATUS = 409


class BrokenGuaranteeError(AssertionError):
    """A guarantee did not hold."""


@dataclasses.dataclass(slots=True)
class Told:
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
    pieces: list[bytes] = dataclasses.field(default_factory=list)
    begun: bool = False
    final: str = ""
    problem: outcomes.Problem | None = None


class Callers:
    """All requests of a world."""

    def __init__(self) -> None:
        self.told: dict[str, Told] = {}

    def add(self, request: requests.Request, entry: str) -> None:
        """Notes a request."""
        self.told[request.request_id] = Told(request, entry)

    def list_open(self, entry: str) -> list[Told]:
        """Returns the requests of an entry without a final answer."""
        return [
            told
            for told in self.told.values()
            if told.entry == entry and not told.final
        ]

    def cut(self, entry: str) -> None:
        """The entry died: its callers' connections break."""
        for told in self.list_open(entry):
            told.final = "cut"

    def consume(self, command: commands.Command) -> None:
        """Takes a command for a caller; one that is gone hears nothing."""
        request_id = getattr(command, "request_id", "")
        if request_id in self.told and self.told[request_id].final == GONE:
            return
        match command:
            case commands.BeginAnswer(request_id):
                self._open(request_id).begun = True
            case commands.SendAnswer(request_id, payloads):
                self._open(request_id).pieces.extend(payloads)
            case commands.EndAnswer(request_id):
                told = self._open(request_id)
                told.final = "answered"
                self._check_whole(told)
            case commands.RejectRequest(request_id, problem):
                told = self._open(request_id)
                if told.begun:
                    raise BrokenGuaranteeError(f"{request_id} refused after it began")
                told.final = "refused"
                told.problem = problem
            case commands.AbortAnswer(request_id, problem):
                told = self._open(request_id)
                told.final = "aborted"
                told.problem = problem
            case _:
                pass

    def _open(self, request_id: str) -> Told:
        told = self.told[request_id]
        if told.final:
            raise BrokenGuaranteeError(f"{request_id} answered after {told.final}")
        return told

    def _check_whole(self, told: Told) -> None:
        expected = endpoints.compute_answer(told.request.body)
        if tuple(told.pieces) != expected:
            raise BrokenGuaranteeError(
                f"{told.request.request_id} got {told.pieces}, expected {expected}"
            )

    def check_runs(self, runs: list[endpoints.Run]) -> None:
        """Checks what callers were told against all runs at the endpoints."""
        by_request: dict[str, int] = {}
        for run in runs:
            by_request[run.request_id] = by_request.get(run.request_id, 0) + 1
        by_key: dict[tuple[str, str], int] = {}
        for request_id, told in self.told.items():
            count = by_request.get(request_id, 0)
            problem = told.problem
            if count and problem and problem.outcome is outcomes.Outcome.NOT_RUN:
                raise BrokenGuaranteeError(f"{request_id} ran, told not run: {problem}")
            request = told.request
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
        for told in self.told.values():
            key = (told.request.workspace, told.request.idempotency_key)
            asked[key] = asked.get(key, 0) + 1
        for told in self.told.values():
            problem = told.problem
            key = (told.request.workspace, told.request.idempotency_key)
            ran = problem and problem.outcome is outcomes.Outcome.ALREADY_RUN
            other = problem and problem.status == CONFLICT_STATUS
            if (ran or other) and asked[key] == 1:
                raise BrokenGuaranteeError(
                    f"{told.request.request_id} is the only one with {key}: {problem}"
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
