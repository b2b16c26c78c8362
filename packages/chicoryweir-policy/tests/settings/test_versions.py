"""Tests of single steps of the settings version state machine."""

import pytest

from chicoryweir_policy import store
from chicoryweir_policy.settings import copies
from chicoryweir_policy.settings import delta
from chicoryweir_policy.settings import documents
from chicoryweir_policy.settings import heads
from chicoryweir_policy.settings import messages
from chicoryweir_policy.settings import versions

STORE_DOWN = store.Refused("down")


def make_copy(version: int, change_id: str = "c") -> copies.Copy:
    data = documents.encode_document({"fleet": {"settings": {"queue_limit": version}}})
    name = heads.make_object_name(version, change_id)
    digest = documents.compute_digest(data)
    head = heads.Head(version, name, digest, change_id, "dato", 0.0, "")
    return copies.Copy(head, data)


def make_head_read(copy: copies.Copy, row_version: int) -> messages.HeadRead:
    value = heads.render_head(copy.head)
    return messages.HeadRead(
        store.Rows((store.Row(heads.HEAD_KEY, row_version, value),))
    )


def run_events(
    events: list[messages.Event], now: float = 0.0
) -> tuple[versions.VersionState, list[messages.Command]]:
    """Returns the final state and the commands of the last event."""
    state = versions.make_version_state("entry-1", now)
    commands: list[messages.Command] = []
    for event in events:
        step = versions.advance(state, event, now)
        state = step.state
        commands = list(step.commands)
    return state, commands


def get_violation_faults(commands: list[messages.Command]) -> list[messages.Fault]:
    return [
        command.fault for command in commands if isinstance(command, messages.Violation)
    ]


def make_events_to_adopt(version: int) -> list[messages.Event]:
    copy = make_copy(version)
    return [make_head_read(copy, version), messages.ChangeAccepted(copy)]


def test_process_that_starts_in_outage_adopts_highest_announced_version() -> None:
    state, _ = run_events([messages.HeadRead(STORE_DOWN)])
    for peer, version in (("a", 5), ("b", 7), ("c", 6)):
        announced = messages.HeadAnnounced(peer, make_copy(version).head)
        step = versions.advance(state, announced, 0.5)
        state = step.state
        assert step.commands == ()
    before_wait_ends = versions.advance(
        state, messages.CopyReceived("a", make_copy(5)), 1.0
    )
    assert before_wait_ends.state.current is None
    step = versions.advance(state, messages.Ticked(), 2.0)
    assert messages.RequestCopy("b") in step.commands
    adopted = versions.advance(
        step.state, messages.CopyReceived("b", make_copy(7)), 2.1
    )
    assert adopted.state.current == make_copy(7)


def test_process_without_known_version_only_polls_the_store() -> None:
    state, _ = run_events(
        [messages.HeadRead(STORE_DOWN), messages.HeadAnnounced("a", None)]
    )
    step = versions.advance(state, messages.Ticked(), 60.0)
    assert step.state.current is None
    assert [type(command) for command in step.commands] == [messages.ReadHead]


def test_next_version_is_loaded_from_its_delta() -> None:
    old, new = make_copy(4), make_copy(5)
    state, commands = run_events([*make_events_to_adopt(4), make_head_read(new, 5)])
    name = heads.make_delta_name(new.head.object_name)
    assert commands == [messages.FetchObject(store.GetObject(name))]
    found = delta.compute_delta(old.data, new.data)
    assert found is not None
    fetched = store.ObjectFetched(name, delta.encode_delta(found))
    step = versions.advance(state, messages.ObjectRead(name, fetched), 0.1)
    assert step.state.current == new


@pytest.mark.parametrize("data", [None, b"garbage", b'{"changes":[]}'])
def test_whole_document_is_fetched_if_delta_does_not_apply(
    data: bytes | None,
) -> None:
    new = make_copy(5)
    state, _ = run_events([*make_events_to_adopt(4), make_head_read(new, 5)])
    name = heads.make_delta_name(new.head.object_name)
    fetched = store.ObjectFetched(name, data)
    step = versions.advance(state, messages.ObjectRead(name, fetched), 0.1)
    whole = store.GetObject(new.head.object_name)
    assert step.commands == (messages.FetchObject(whole),)


def test_missing_document_is_not_fetched_again_immediately() -> None:
    new = make_copy(9)
    state, _ = run_events([*make_events_to_adopt(4), make_head_read(new, 5)])
    name = new.head.object_name
    missing = messages.ObjectRead(name, store.ObjectFetched(name, None))
    assert versions.advance(state, missing, 0.1).commands == ()


def test_violations_are_reported_and_version_does_not_change() -> None:
    forked = messages.HeadAnnounced("a", make_copy(4, "other").head)
    state, commands = run_events([*make_events_to_adopt(4), forked])
    assert get_violation_faults(commands) == [messages.Fault.FORKED]
    assert state.current == make_copy(4)
    state, commands = run_events(
        [*make_events_to_adopt(4), make_head_read(make_copy(2), 9)]
    )
    assert get_violation_faults(commands) == [messages.Fault.HEAD_MOVED_BACK]
    assert state.current == make_copy(4)
    damaged = copies.Copy(make_copy(5).head, b"{}")
    state, commands = run_events(
        [*make_events_to_adopt(4), messages.CopyReceived("a", damaged)]
    )
    assert get_violation_faults(commands) == [messages.Fault.DAMAGED]
    assert state.current == make_copy(4)


def test_late_reply_with_older_head_is_no_violation() -> None:
    state, commands = run_events(
        [*make_events_to_adopt(4), make_head_read(make_copy(3), 3)]
    )
    assert commands == []
    assert state.current == make_copy(4)


def test_newer_version_is_announced_to_outdated_peer() -> None:
    _, commands = run_events(
        [*make_events_to_adopt(4), messages.HeadAnnounced("a", make_copy(3).head)]
    )
    assert commands == [messages.AnnounceHead(make_copy(4).head, "a")]


def test_reply_for_an_object_not_being_fetched_is_ignored() -> None:
    state, _ = run_events([*make_events_to_adopt(4), make_head_read(make_copy(9), 9)])
    other = make_copy(8)
    fetched = store.ObjectFetched(other.head.object_name, other.data)
    late = messages.ObjectRead(other.head.object_name, fetched)
    step = versions.advance(state, late, 0.1)
    assert step == versions.Step(state)


def test_duplicate_or_older_copy_is_ignored_without_violation() -> None:
    for version in (3, 4):
        state, commands = run_events(
            [*make_events_to_adopt(4), messages.CopyReceived("a", make_copy(version))]
        )
        assert commands == []
        assert state.current == make_copy(4)
