"""Each mechanism is needed: a world without it breaks the guarantee it is for."""

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
from chicoryweir_standins.worlds import callers
from chicoryweir_standins.worlds import exploration
from chicoryweir_standins.worlds import world

MAX_WALKS = 150

Patch = collections.abc.Callable[[pytest.MonkeyPatch], None]


def _forget_tombstones(patch: pytest.MonkeyPatch) -> None:
    """An agent keeps no tombstones, nor does it remember a key it has sent."""
    patch.setattr(sessions.SessionTable, "add_tombstone", lambda self, attempt_id: None)
    known = attempts.AttemptTable.find
    patch.setattr(
        attempts.AttemptTable,
        "is_known",
        lambda self, attempt_id: known(self, attempt_id) is not None,
    )
    _forget_keys(patch)


def _forget_keys(patch: pytest.MonkeyPatch) -> None:
    def start(self, attempt, now):
        attempt.state = "running"
        attempt.started_at = now
        return True

    patch.setattr(attempts.AttemptTable, "start", start)


def _ignore_claims(patch: pytest.MonkeyPatch) -> None:
    """Every claim in the way is taken over at once."""
    judged = decisions.check_claim

    def judge(claim, token, fingerprint, incarnations):
        found = judged(claim, token, fingerprint, incarnations)
        if isinstance(found, decisions.OwnClaim | decisions.ContentMismatch):
            return found
        return decisions.TakeOver()

    patch.setattr(decisions, "check_claim", judge)
    _forget_keys(patch)


def _say_not_run(patch: pytest.MonkeyPatch) -> None:
    """An entry says "not run" without the agent's word."""
    patch.setattr(
        active_requests.ActiveRequest,
        "outcome",
        property(lambda self: outcomes.Outcome.NOT_RUN),
    )


def _deliver_as_it_comes(patch: pytest.MonkeyPatch) -> None:
    """Chunks are passed on in the order in which they come."""
    patch.setattr(answers.Assembler, "accept_chunk", lambda self, chunk: chunk.payloads)
    patch.setattr(
        answers.Assembler,
        "check_completeness",
        lambda self: answers.Complete(0) if self._finished else answers.Incomplete(),
    )


def _end_without_count(patch: pytest.MonkeyPatch) -> None:
    """An answer ends with its last message, whatever is missing."""
    patch.setattr(
        answers.Assembler,
        "check_completeness",
        lambda self: answers.Complete(0) if self._finished else answers.Incomplete(),
    )


def _suspect_nobody(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        suspicion.SuspicionTracker,
        "get_verdict",
        lambda self, fingerprint, now: records.Unsuspected(),
    )


def _retry_everything(patch: pytest.MonkeyPatch) -> None:
    """A failed attempt is tried again, whatever the request's idempotency."""

    def consume(self, active, message, now, out):
        rejected = messages.AttemptRejected(
            message.attempt_id, messages.RejectReason.ENDPOINT_DOWN, 0
        )
        self.handle_rejected(active, rejected, now, out)

    patch.setattr(dispatch.Dispatcher, "handle_failed", consume)
    _forget_keys(patch)


def _find_violation(prompt: bool) -> str:
    for seed in range(1, MAX_WALKS):
        try:
            exploration.walk_once(seed, prompt=prompt)
        except callers.BrokenGuaranteeError as error:
            return str(error)
    return ""


@pytest.mark.parametrize(
    ("remove", "broken", "prompt"),
    [
        (_forget_tombstones, "ran 2 times", False),
        (_ignore_claims, "ran 2 times", False),
        (_say_not_run, "told not run", False),
        (_deliver_as_it_comes, "expected", False),
        (_end_without_count, "expected", False),
        (_suspect_nobody, "killed", True),
        (_retry_everything, "told not run", False),
    ],
)
def test_world_without_the_mechanism_breaks_the_guarantee(
    remove: Patch, broken: str, prompt: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    remove(monkeypatch)
    found = _find_violation(prompt)
    assert found
    assert broken in found


def test_world_without_word_between_processes_has_old_settings_too_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        settings.SettingsManager, "_send", lambda self, instance, message, out: None
    )
    found = _find_violation(False)
    assert "without version" in found


def test_world_whose_claims_forget_the_workspace_mixes_callers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        claim_records, "make_key", lambda workspace, key: f"claim/{key}"
    )
    walked = world.World(exploration.ENTRIES, exploration.AGENTS)
    once = requests.Idempotency.AT_MOST_ONCE
    for workspace in ("small", "large"):
        walked.call("entry-1", b"pay", once, "k", workspace)
        walked.settle()
    with pytest.raises(callers.BrokenGuaranteeError, match="is the only one"):
        walked.check()
