"""Tests of single steps in applying an operator's change."""

import pytest

from chicoryweir_policy import store
from chicoryweir_policy.settings import changes
from chicoryweir_policy.settings import copies
from chicoryweir_policy.settings import difference
from chicoryweir_policy.settings import documents
from chicoryweir_policy.settings import heads

BASE: store.Json = {"fleet": {"settings": {"weight": 1}}}
OURS: store.Json = {"fleet": {"settings": {"weight": 2}}}
THEIRS: store.Json = {"fleet": {"settings": {"weight": 3}}}
PROPOSAL = changes.Proposal("mine", "dato", 9.0, "why", 4, OURS)


def make_copy(version: int, change_id: str, document: store.Json) -> copies.Copy:
    data = documents.encode_document(document)
    name = heads.make_object_name(version, change_id)
    digest = documents.compute_digest(data)
    return copies.Copy(heads.Head(version, name, digest, change_id, "x", 1.0, ""), data)


CURRENT = make_copy(4, "old", BASE)


def make_rows(*all_heads: heads.Head, row_version: int = 40) -> store.Rows:
    """Returns the head row of the last head and the history rows of all heads."""
    rows = [
        store.Row(heads.make_history_key(head.version), 1, heads.render_head(head))
        for head in all_heads
    ]
    value = heads.render_head(all_heads[-1])
    return store.Rows((store.Row(heads.HEAD_KEY, row_version, value), *rows))


def run_change(results: list[store.Result]) -> changes.Step | changes.Outcome:
    step: changes.Step | changes.Outcome = changes.start_change(PROPOSAL, CURRENT, 0.0)
    for result in results:
        assert isinstance(step, changes.Step)
        step = changes.advance_change(step.change, result, step.run.not_before)
    return step


RESULTS_BEFORE_COMMIT: list[store.Result] = [
    make_rows(CURRENT.head),
    store.ObjectStored("whole"),
    store.ObjectStored("delta"),
]


def test_transaction_writes_head_history_and_audit_together() -> None:
    step = run_change(RESULTS_BEFORE_COMMIT)
    assert isinstance(step, changes.Step)
    operation = step.run.operation
    assert isinstance(operation, store.Transact)
    assert store.Check(heads.HEAD_KEY, 40) in operation.checks
    assert [write.key for write in operation.writes] == [
        heads.HEAD_KEY,
        heads.make_history_key(5),
        "audit/000000000009000-mine",
    ]
    audit_value = operation.writes[2].value
    assert isinstance(audit_value, dict)
    assert audit_value["changes"] == [
        {"path": "/fleet/settings/weight", "from": 1, "to": 2}
    ]


def test_later_of_two_operators_gets_conflict_with_difference() -> None:
    theirs = make_copy(5, "theirs", THEIRS)
    outcome = run_change(
        [
            *RESULTS_BEFORE_COMMIT,
            store.Conflicted(()),
            make_rows(theirs.head, row_version=41),
            store.ObjectFetched(theirs.head.object_name, theirs.data),
        ]
    )
    change = difference.Change("/fleet/settings/weight", 2, 3)
    assert outcome == changes.Conflict(5, (change,))


def test_committed_change_with_lost_reply_is_applied_despite_a_later_change() -> None:
    mine = make_copy(5, "mine", OURS)
    later = make_copy(6, "theirs", THEIRS)
    outcome = run_change(
        [*RESULTS_BEFORE_COMMIT, store.Unknown("cut"), make_rows(mine.head, later.head)]
    )
    assert outcome == changes.Applied(mine)


def test_lost_write_is_retried_with_the_same_checks() -> None:
    first = run_change(RESULTS_BEFORE_COMMIT)
    retried = run_change(
        [*RESULTS_BEFORE_COMMIT, store.Unknown("cut"), make_rows(CURRENT.head)]
    )
    assert isinstance(first, changes.Step)
    assert isinstance(retried, changes.Step)
    assert retried.run.operation == first.run.operation


@pytest.mark.parametrize(
    ("results_before_outage", "expected"),
    [
        ([], changes.Unavailable),
        (RESULTS_BEFORE_COMMIT, changes.Unavailable),
        ([*RESULTS_BEFORE_COMMIT, store.Unknown("cut")], changes.Unknown),
        ([*RESULTS_BEFORE_COMMIT, store.Conflicted(())], changes.Unknown),
    ],
)
def test_outcome_after_outage_is_unknown_only_if_a_write_may_have_committed(
    results_before_outage: list[store.Result], expected: type
) -> None:
    refusal_count = int(changes.MAX_CHANGE_TIME_S / changes.RETRY_INTERVAL_S) - 1
    results = [*results_before_outage, *[store.Refused("down")] * refusal_count]
    while isinstance(step := run_change(results), changes.Step):
        results.append(store.Refused("down"))
    assert isinstance(step, expected)


def test_change_id_of_another_document_is_not_reported_as_applied() -> None:
    other = make_copy(5, "mine", THEIRS)
    assert isinstance(run_change([make_rows(other.head)]), changes.Unavailable)
