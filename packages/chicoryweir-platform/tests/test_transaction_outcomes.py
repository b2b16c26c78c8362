"""Tests of determining the outcome of a transaction whose reply was lost."""

import hypothesis
from hypothesis import strategies
import pytest

from chicoryweir_platform import backoff
from chicoryweir_platform import transaction_outcomes
from chicoryweir_policy import store

NO_DELAY = backoff.BackoffPolicy(base_s=0.0, cap_s=0.0)
CLAIM = store.Transact(
    (store.Check("claim/1", 0),), (store.Write("claim/1", {"token": "ours"}),)
)
HEAD_CHANGE = store.Transact(
    (store.Check("head", 4),),
    (
        store.Write("head", {"version": 2}),
        store.Write("audit/2", {"token": "ours"}),
    ),
)
CLAIM_MARKER = transaction_outcomes.Marker("claim/1", "token", "ours")
HEAD_CHANGE_MARKER = transaction_outcomes.Marker("audit/2", "token", "ours")


class ScriptedStore:
    """Store that returns the given results in order."""

    def __init__(self, *results: store.Result) -> None:
        self.results = list(results)
        self.operations: list[store.Operation] = []

    async def run(self, operation: store.Operation) -> store.Result:
        self.operations.append(operation)
        return self.results.pop(0)


def make_rows(*found: store.Row) -> store.Rows:
    return store.Rows(found)


def test_own_token_proves_commit() -> None:
    found = make_rows(store.Row("claim/1", 9, {"token": "ours"}))
    outcome = transaction_outcomes.determine_outcome(CLAIM, CLAIM_MARKER, found)
    assert outcome == store.Committed({"claim/1": 9})


def test_token_proves_commit_after_the_head_row_changed() -> None:
    found = make_rows(
        store.Row("head", 11, {"version": 3}),
        store.Row("audit/2", 9, {"token": "ours"}),
    )
    outcome = transaction_outcomes.determine_outcome(
        HEAD_CHANGE, HEAD_CHANGE_MARKER, found
    )
    assert isinstance(outcome, store.Committed)


def test_failed_check_without_token_proves_no_commit() -> None:
    found = make_rows(store.Row("claim/1", 9, {"token": "theirs"}))
    outcome = transaction_outcomes.determine_outcome(CLAIM, CLAIM_MARKER, found)
    assert isinstance(outcome, transaction_outcomes.NotCommitted)


def test_outcome_is_undecided_while_all_checks_hold() -> None:
    found = make_rows(store.Row("head", 4, {"version": 1}))
    outcome = transaction_outcomes.determine_outcome(
        HEAD_CHANGE, HEAD_CHANGE_MARKER, found
    )
    assert isinstance(outcome, transaction_outcomes.Undecided)


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(["apply", "rival", "other"]), min_size=0, max_size=6
    )
)
def test_outcome_agrees_with_every_history(history: list[str]) -> None:
    version, head, audit = 4, store.Row("head", 4, {}), None
    applied = False
    for event in history:
        version += 1
        if event == "apply" and head.version == 4:
            applied = True
            head = store.Row("head", version, {})
            audit = store.Row("audit/2", version, {"token": "ours"})
        elif event == "rival":
            head = store.Row("head", version, {})
    found = make_rows(*(row for row in (head, audit) if row is not None))
    match transaction_outcomes.determine_outcome(
        HEAD_CHANGE, HEAD_CHANGE_MARKER, found
    ):
        case store.Committed():
            assert applied
        case transaction_outcomes.NotCommitted():
            assert not applied
            assert head.version != 4
        case transaction_outcomes.Undecided():
            assert not applied
            assert head.version == 4


async def test_refused_read_is_retried() -> None:
    client = ScriptedStore(
        store.Refused("503"), make_rows(store.Row("claim/1", 9, {"token": "ours"}))
    )
    outcome = await transaction_outcomes.resolve_outcome(
        client, CLAIM, CLAIM_MARKER, policy=NO_DELAY
    )
    assert isinstance(outcome, store.Committed)
    assert client.operations == [store.Read(("claim/1",))] * 2


async def test_all_rows_are_read_in_one_operation() -> None:
    client = ScriptedStore(make_rows(store.Row("head", 5, {})))
    await transaction_outcomes.resolve_outcome(
        client, HEAD_CHANGE, HEAD_CHANGE_MARKER, policy=NO_DELAY
    )
    assert client.operations == [store.Read(("head", "audit/2"))]


@pytest.mark.parametrize("attempts", [1, 3])
async def test_outcome_stays_undecided_during_an_outage(attempts: int) -> None:
    client = ScriptedStore(*[store.Refused("out")] * attempts)
    outcome = await transaction_outcomes.resolve_outcome(
        client, CLAIM, CLAIM_MARKER, attempts=attempts, policy=NO_DELAY
    )
    assert outcome == transaction_outcomes.Undecided("out")
