"""Tests that a simulation without a mechanism breaks the mechanism's guarantee."""

from __future__ import annotations

import collections.abc

import pytest

from chicoryweir_policy import answers
from chicoryweir_policy import messages
from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy.claims import decisions
from chicoryweir_policy.claims import records as claim_records
from chicoryweir_policy.cores import settings
from chicoryweir_policy.cores.agent import attempts
from chicoryweir_policy.cores.agent import sessions
from chicoryweir_policy.cores.entry import active_requests
from chicoryweir_policy.cores.entry import dispatch
from chicoryweir_policy.quarantine import records
from chicoryweir_policy.quarantine import suspicion
from chicoryweir_standins.simulation import callers
from chicoryweir_standins.simulation import exploration
from chicoryweir_standins.simulation import simulator

MAX_WALKS = 150

Patch = collections.abc.Callable[[pytest.MonkeyPatch], None]


def _forget_tombstones(patch: pytest.MonkeyPatch) -> None:
    """Agents keep no tombstones and don't remember the keys that they ran."""
    patch.setattr(sessions.SessionTable, "add_tombstone", lambda self, attempt_id: None)
    find = attempts.AttemptTable.find
    patch.setattr(
        attempts.AttemptTable,
        "is_known",
        lambda self, attempt_id: find(self, attempt_id) is not None,
    )
    _forget_keys(patch)


def _forget_keys(patch: pytest.MonkeyPatch) -> None:
    def start(self, attempt, now):
        attempt.state = "running"
        attempt.started_at = now
        return True

    patch.setattr(attempts.AttemptTable, "start", start)


def _ignore_claims(patch: pytest.MonkeyPatch) -> None:
    """Every claim of another entry for the same content is taken over at once."""
    check_claim = decisions.check_claim

    def take_over(claim, token, fingerprint, incarnations):
        found = check_claim(claim, token, fingerprint, incarnations)
        if isinstance(found, decisions.OwnClaim | decisions.ContentMismatch):
            return found
        return decisions.TakeOver()

    patch.setattr(decisions, "check_claim", take_over)
    _forget_keys(patch)


def _report_not_run(patch: pytest.MonkeyPatch) -> None:
    """Entries report "not run" without confirmation by the agent."""
    patch.setattr(
        active_requests.ActiveRequest,
        "outcome",
        property(lambda self: outcomes.Outcome.NOT_RUN),
    )


def _relay_in_order_of_arrival(patch: pytest.MonkeyPatch) -> None:
    """Chunks are relayed in their order of arrival."""
    patch.setattr(answers.Assembler, "accept_chunk", lambda self, chunk: chunk.payloads)
    patch.setattr(
        answers.Assembler,
        "check_completeness",
        lambda self: answers.Complete(0) if self._finished else answers.Incomplete(),
    )


def _end_without_completeness_check(patch: pytest.MonkeyPatch) -> None:
    """An answer ends with its last message even if chunks are missing."""
    patch.setattr(
        answers.Assembler,
        "check_completeness",
        lambda self: answers.Complete(0) if self._finished else answers.Incomplete(),
    )


def _suspect_no_content(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        suspicion.SuspicionTracker,
        "get_verdict",
        lambda self, fingerprint, now: records.Unsuspected(),
    )


def _retry_everything(patch: pytest.MonkeyPatch) -> None:
    """Failed attempts are retried regardless of the request's idempotency."""

    def handle_failed(self, active, message, now, out):
        rejected = messages.AttemptRejected(
            message.attempt_id, messages.RejectReason.ENDPOINT_DOWN, 0
        )
        self.handle_rejected(active, rejected, now, out)

    patch.setattr(dispatch.Dispatcher, "handle_failed", handle_failed)
    _forget_keys(patch)


def _find_violation(prompt_delivery: bool) -> str:
    for seed in range(1, MAX_WALKS):
        try:
            exploration.walk_once(seed, prompt_delivery=prompt_delivery)
        except callers.BrokenGuaranteeError as error:
            return str(error)
    return ""


@pytest.mark.parametrize(
    ("remove", "broken", "prompt_delivery"),
    [
        (_forget_tombstones, "ran 2 times", False),
        (_ignore_claims, "ran 2 times", False),
        (_report_not_run, "was reported as not run", False),
        (_relay_in_order_of_arrival, "expected", False),
        (_end_without_completeness_check, "expected", False),
        (_suspect_no_content, "killed", True),
        (_retry_everything, "was reported as not run", False),
    ],
)
def test_simulation_without_the_mechanism_breaks_the_guarantee(
    remove: Patch, broken: str, prompt_delivery: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    remove(monkeypatch)
    violation = _find_violation(prompt_delivery)
    assert violation
    assert broken in violation


def test_settings_stay_outdated_without_messages_between_processes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        settings.SettingsManager, "_send", lambda self, instance, message, out: None
    )
    violation = _find_violation(False)
    assert "without version" in violation


def test_claim_keys_without_the_workspace_mix_up_callers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        claim_records, "make_key", lambda workspace, key: f"claim/{key}"
    )
    simulation = simulator.Simulation(exploration.ENTRIES, exploration.AGENTS)
    once = requests.Idempotency.AT_MOST_ONCE
    for workspace in ("small", "large"):
        simulation.call("entry-1", b"pay", once, "k", workspace)
        simulation.run_until_idle()
    with pytest.raises(callers.BrokenGuaranteeError, match="is the only one"):
        simulation.check()
