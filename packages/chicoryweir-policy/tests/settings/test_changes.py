"""Tests of single steps of an operator's change."""

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


HELD = make_copy(4, "old", BASE)


def make_rows(*heads_read: heads.Head, row_version: int = 40) -> store.Rows:
    """Returns the head row of the last head, and history rows of all."""
    rows = [
        store.Row(heads.make_history_key(head.version), 1, heads.render_head(head))
        for head in heads_read
    ]
    value = heads.render_head(heads_read[-1])
    return store.Rows((store.Row(heads.HEAD_KEY, row_version, value), *rows))


def drive(results: list[store.Result]) -> changes.Step | changes.Outcome:
    step: changes.Step | changes.Outcome = changes.start_change(PROPOSAL, HELD, 0.0)
    for result in results:
        assert isinstance(step, changes.Step)
        step = changes.advance_change(step.change, result, step.run.not_before)
    return step


SENT: list[store.Result] = [
    make_rows(HELD.head),
    store.ObjectStored("whole"),
    store.ObjectStored("delta"),
]


def test_transaction_writes_head_history_and_audit_together() -> None:
    step = drive(SENT)
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


def test_slower_operator_gets_a_conflict_with_the_difference() -> None:
    theirs = make_copy(5, "theirs", THEIRS)
    outcome = drive(
        [
            *SENT,
            store.Conflicted(()),
            make_rows(theirs.head, row_version=41),
            store.ObjectFetched(theirs.head.object_name, theirs.data),
        ]
    )
    change = difference.Change("/fleet/settings/weight", 2, 3)
    assert outcome == changes.Conflict(5, (change,))


def test_lost_reply_of_an_accepted_change_is_settled_though_another_followed() -> None:
    mine = make_copy(5, "mine", OURS)
    later = make_copy(6, "theirs", THEIRS)
    outcome = drive([*SENT, store.Unknown("cut"), make_rows(mine.head, later.head)])
    assert outcome == changes.Applied(mine)


def test_lost_write_is_sent_again_with_the_same_checks() -> None:
    first = drive(SENT)
    again = drive([*SENT, store.Unknown("cut"), make_rows(HELD.head)])
    assert isinstance(first, changes.Step)
    assert isinstance(again, changes.Step)
    assert again.run.operation == first.run.operation


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        ([], changes.Unavailable),
        (SENT, changes.Unavailable),
        ([*SENT, store.Unknown("cut")], changes.Unknown),
        ([*SENT, store.Conflicted(())], changes.Unknown),
    ],
)
def test_outage_ends_as_unknown_only_if_a_write_may_have_taken_effect(
    sent: list[store.Result], expected: type
) -> None:
    refusals = int(changes.MAX_CHANGE_TIME_S / changes.RETRY_INTERVAL_S) - 1
    results = [*sent, *[store.Refused("down")] * refusals]
    while isinstance(step := drive(results), changes.Step):
        results.append(store.Refused("down"))
    assert isinstance(step, expected)


def test_change_id_used_for_another_document_is_not_reported_as_applied() -> None:
    other = make_copy(5, "mine", THEIRS)
    assert isinstance(drive([make_rows(other.head)]), changes.Unavailable)
