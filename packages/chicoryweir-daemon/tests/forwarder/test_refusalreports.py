"""Tests of the log line on what was refused."""

import structlog

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import metrics_registry
from chicoryweir_daemon.forwarder import refusalreports
from chicoryweir_daemon.http1 import limits
from chicoryweir_daemon.http1 import memory


# Guards against a line for each refusal, of which a caller can cause any number.
def test_refusals_are_logged_in_one_line():
    metrics = metrics_registry.MetricsRegistry()
    report = refusalreports.RefusalReport(metrics)
    account = refusalreports.create_account(152 << 20, limits.DEFAULT, report)
    for _ in range(1000):
        account.record_refusal(memory.Cause.TRAILERS)
    account.record_refusal(memory.Cause.UNREAD)
    with structlog.testing.capture_logs() as lines:
        for _ in range(3):
            report.write(account, eventlog.EventLog("e"))
    assert [line["causes"] for line in lines] == [
        {"trailers too long": 1000, "answer not read": 1}
    ]
    assert b'received_refused_total{of="trailers too long"} 1000.0' in metrics.render()
