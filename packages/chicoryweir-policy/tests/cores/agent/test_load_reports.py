"""Tests of when an agent sends load reports to an entry."""

import dataclasses

from chicoryweir_policy import messages
from chicoryweir_policy.cores.agent import load
from chicoryweir_policy.cores.agent import sessions
from chicoryweir_policy.membership import instances
from chicoryweir_policy.routing import views


def _open_session() -> sessions.Session:
    return sessions.Session("s", "entry-1", instances.Role.ENTRY)


def _make_report(session: sessions.Session) -> messages.LoadReport:
    return load.LoadMeter(16).make_report(session, (), 0, 0.0, False)


def test_first_report_is_sent() -> None:
    session = _open_session()
    assert load.is_report_needed(session, _make_report(session), 10.0)


def test_unchanged_report_is_sent_only_after_refresh_period() -> None:
    session = _open_session()
    load.record_sent_report(session, _make_report(session), 10.0)
    unchanged = _make_report(session)
    assert not load.is_report_needed(
        session, unchanged, 10.0 + 0.9 * load.REFRESH_PERIOD_S
    )
    assert load.is_report_needed(session, unchanged, 10.0 + load.REFRESH_PERIOD_S)


def test_changed_load_or_acknowledgement_is_reported_at_once() -> None:
    session = _open_session()
    load.record_sent_report(session, _make_report(session), 10.0)
    changed = dataclasses.replace(_make_report(session), running=1)
    assert load.is_report_needed(session, changed, 10.0)
    session.acknowledged = 5
    assert load.is_report_needed(session, _make_report(session), 10.0)


def test_report_is_refreshed_before_it_becomes_stale() -> None:
    longest_gap_s = load.REFRESH_PERIOD_S + load.REPORT_PERIOD_S
    assert 2 * longest_gap_s < views.MAX_REPORT_AGE_S


def test_sent_reports_have_consecutive_sequence_numbers() -> None:
    session = _open_session()
    for number in (1, 2, 3):
        report = _make_report(session)
        assert report.sequence == number
        load.record_sent_report(session, report, float(number))
