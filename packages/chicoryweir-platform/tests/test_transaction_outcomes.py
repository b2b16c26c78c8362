"""Tests of reading back a transaction whose reply was lost."""

import hypothesis
from hypothesis import strategies
import pytest

from chicoryweir_platform import backoff
from chicoryweir_platform import transaction_outcomes
from chicoryweir_policy import store

FAST = backoff.BackoffPolicy(base_s=0.0, cap_s=0.0)
CLAIM = store.Transact(
    (store.Check("claim/1", 0),), (store.Write("claim/1", {"token": "ours"}),)
)
MOVE = store.Transact(
    (store.Check("head", 4),),
    (
        store.Write("head", {"version": 2}),
        store.Write("audit/2", {"token": "ours"}),
    ),
)
CLAIM_MARKER = transaction_outcomes.Marker("claim/1", "token", "ours")
MOVE_MARKER = transaction_outcomes.Marker("audit/2", "token", "ours")


class ScriptedStore:
    """Answers each operation with the next of the given results."""

    def __init__(self, *results: store.Result) -> None:
        self.results = list(results)
        self.operations: list[store.Operation] = []

    async def run(self, operation: store.Operation) -> store.Result:
        self.operations.append(operation)
        return self.results.pop(0)


def rows(*found: store.Row) -> store.Rows:
    return store.Rows(found)


def test_own_token_proves_the_commit() -> None:
    read = rows(store.Row("claim/1", 9, {"token": "ours"}))
    judged = transaction_outcomes.determine_outcome(CLAIM, CLAIM_MARKER, read)
    assert judged == store.Committed({"claim/1": 9})


def test_commit_is_proved_though_the_head_moved_on() -> None:
    read = rows(
        store.Row("head", 11, {"version": 3}),
        store.Row("audit/2", 9, {"token": "ours"}),
    )
    judged = transaction_outcomes.determine_outcome(MOVE, MOVE_MARKER, read)
    assert isinstance(judged, store.Committed)


def test_broken_check_without_token_proves_no_effect() -> None:
    read = rows(store.Row("claim/1", 9, {"token": "theirs"}))
    judged = transaction_outcomes.determine_outcome(CLAIM, CLAIM_MARKER, read)
    assert isinstance(judged, transaction_outcomes.NotCommitted)


def test_transaction_may_yet_be_applied_while_checks_hold() -> None:
    read = rows(store.Row("head", 4, {"version": 1}))
    judged = transaction_outcomes.determine_outcome(MOVE, MOVE_MARKER, read)
    assert isinstance(judged, transaction_outcomes.Undecided)


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(["apply", "rival", "other"]), min_size=0, max_size=6
    )
)
def test_judgement_never_contradicts_what_happened(history: list[str]) -> None:
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
    found = rows(*(row for row in (head, audit) if row is not None))
    match transaction_outcomes.determine_outcome(MOVE, MOVE_MARKER, found):
        case store.Committed():
            assert applied
        case transaction_outcomes.NotCommitted():
            assert not applied
            assert head.version != 4
        case transaction_outcomes.Undecided():
            assert not applied
            assert head.version == 4


async def test_settle_reads_again_after_refusals() -> None:
    client = ScriptedStore(
        store.Refused("503"), rows(store.Row("claim/1", 9, {"token": "ours"}))
    )
    settled = await transaction_outcomes.resolve_outcome(
        client, CLAIM, CLAIM_MARKER, policy=FAST
    )
    assert isinstance(settled, store.Committed)
    assert client.operations == [store.Read(("claim/1",))] * 2


async def test_settle_reads_all_rows_at_one_time() -> None:
    client = ScriptedStore(rows(store.Row("head", 5, {})))
    await transaction_outcomes.resolve_outcome(client, MOVE, MOVE_MARKER, policy=FAST)
    assert client.operations == [store.Read(("head", "audit/2"))]


@pytest.mark.parametrize("attempts", [1, 3])
async def test_settle_stays_undecided_through_an_outage(attempts: int) -> None:
    client = ScriptedStore(*[store.Refused("out")] * attempts)
    settled = await transaction_outcomes.resolve_outcome(
        client, CLAIM, CLAIM_MARKER, attempts=attempts, policy=FAST
    )
    assert settled == transaction_outcomes.Undecided("out")
