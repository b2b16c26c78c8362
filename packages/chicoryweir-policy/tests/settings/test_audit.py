"""Tests of the audit trail and of the answers to operators."""

import pytest

from chicoryweir_policy import store
from chicoryweir_policy.settings import answers
from chicoryweir_policy.settings import audit
from chicoryweir_policy.settings import changes
from chicoryweir_policy.settings import copies
from chicoryweir_policy.settings import difference
from chicoryweir_policy.settings import heads

TREE = {"operators": {"dato": {"keys_sha256": ["cd" * 32]}}}
HEAD = heads.Head(3, "settings/3-c", "", "c", "dato", 5.0, "why")


def make_rows(count: int) -> list[store.Row]:
    rows = []
    for number in range(count):
        change = difference.Change("/fleet/settings/weight", number, difference.ABSENT)
        record = audit.Record(
            f"id{number}", float(number), "dato", "settings", "", (change,)
        )
        write = audit.make_write(record)
        rows.append(store.Row(write.key, 10 + number, write.value))
    return rows


def test_audit_lines_after_a_sequence_number_are_in_order() -> None:
    rows = make_rows(5)
    lines = audit.list_lines(reversed(rows), after=11, limit=2)
    assert [(line.seq, line.record.record_id) for line in lines] == [
        (12, "id2"),
        (13, "id3"),
    ]
    assert lines[0].change == difference.Change(
        "/fleet/settings/weight", 2, difference.ABSENT
    )


def test_trim_deletes_oldest_rows_beyond_max_records() -> None:
    rows = make_rows(5)
    plan = audit.plan_trim(rows, max_records=3)
    assert plan is not None
    assert [write.key for write in plan.writes] == [row.key for row in rows[:2]]
    assert all(write.value is None for write in plan.writes)
    assert audit.plan_trim(rows, max_records=5) is None


# Guards against the loss of the newest record if the time of day was set back.
def test_trim_keeps_the_latest_rows_whatever_their_time_of_day() -> None:
    rows = make_rows(4)
    record = audit.Record("late", 0.0, "dato", "settings", "")
    write = audit.make_write(record)
    latest = store.Row(write.key, 99, write.value)
    plan = audit.plan_trim([latest, *rows], max_records=3)
    assert plan is not None
    assert [write.key for write in plan.writes] == [row.key for row in rows[:2]]


def test_long_changes_are_truncated() -> None:
    change = difference.Change("/x", "v" * 10_000, None)
    record = audit.Record("id", 1.0, "dato", "settings", "", (change,) * 150)
    parsed = audit.parse_record(audit.make_write(record).value)
    assert parsed is not None
    assert (len(parsed.changes), parsed.omitted) == (100, 50)
    assert len(str(parsed.changes[0].before)) < 400


@pytest.mark.parametrize(
    ("body", "status"),
    [
        ([], 400),
        ({"expect_version": "1", "change_id": "c", "tree": TREE}, 400),
        ({"expect_version": 1, "change_id": "a/b", "tree": TREE}, 400),
        ({"expect_version": 1, "change_id": "c", "tree": {"x": 1}}, 422),
    ],
)
def test_invalid_change_is_rejected(body: store.Json, status: int) -> None:
    answer = answers.parse_proposal(body, "dato", 1.0)
    assert isinstance(answer, answers.Answer)
    assert answer.status == status
    assert bool(answer.body.get("faults")) == (status == 422)


def test_author_of_valid_change_includes_operator_of_key() -> None:
    body: store.Json = {"expect_version": 1, "change_id": "c-1", "tree": TREE}
    body["author"] = "x"
    proposal = answers.parse_proposal(body, "dato", 1.0)
    assert isinstance(proposal, changes.Proposal)
    assert proposal.author == "dato (x)"


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        (changes.Applied(copies.Copy(HEAD, b"{}")), 200),
        (changes.Conflict(3, (difference.Change("/x", 1, 2),)), 409),
        (changes.Unavailable("down"), 503),
        (changes.Unknown("lost"), 504),
    ],
)
def test_outcome_determines_status(outcome: changes.Outcome, status: int) -> None:
    answer = answers.render_outcome(outcome)
    assert answer.status == status
    if status == 409:
        assert answer.body["difference"] == [{"path": "/x", "ours": 1, "theirs": 2}]


def test_history_is_listed_newest_first() -> None:
    rows = [
        store.Row(f"k{version}", version, {"version": version, "object": "o"})
        for version in (1, 3, 2)
    ]
    versions = answers.render_history(rows).body["versions"]
    assert isinstance(versions, list)
    assert [item["version"] for item in versions if isinstance(item, dict)] == [3, 2, 1]


def test_missing_version_is_answered_with_not_found() -> None:
    assert answers.render_settings(7, None).status == 404
    assert answers.render_settings(7, b'{"fleet":{}}').body["tree"] == {"fleet": {}}


def test_scan_continues_after_full_page_only() -> None:
    rows = make_rows(3)
    scan = store.Scan(audit.PREFIX, limit=3)
    next_scan = answers.continue_scan(scan, store.Rows(tuple(rows)))
    assert next_scan == store.Scan(audit.PREFIX, rows[-1].key, 3)
    assert answers.continue_scan(scan, store.Rows(tuple(rows[:2]))) is None
