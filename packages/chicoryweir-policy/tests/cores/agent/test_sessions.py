"""Tests of an agent's sessions."""

from __future__ import annotations

from chicoryweir_policy import messages
from chicoryweir_policy.cores.agent import sessions
from chicoryweir_policy.membership import instances

_HELLO = messages.Hello("entry-1", instances.Role.ENTRY, "p", "", "i", "", 0)


def test_session_keeps_bounded_number_of_newest_tombstones() -> None:
    table = sessions.SessionTable()
    session = table.open(_HELLO, "s1")
    for number in range(sessions.MAX_TOMBSTONES + 5):
        table.add_tombstone(f"a-{number}")
    assert len(session.tombstones) == sessions.MAX_TOMBSTONES
    assert f"a-{sessions.MAX_TOMBSTONES + 4}" in session.tombstones
    assert "a-0" not in session.tombstones


def test_newest_session_of_instance_is_found() -> None:
    table = sessions.SessionTable()
    table.open(_HELLO, "s1")
    newest = table.open(_HELLO, "s2")
    assert table.find_instance("entry-1") is newest
    table.close("s2")
    assert table.find("s2") is None
