"""Tests of the log lines that a process writes as it ends."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import textwrap

import pytest

from chicoryweir_daemon import logs
from chicoryweir_policy import catalogue

TIMEOUT_S = 30.0


def _run(program, redirections=""):
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
    # Unbuffered streams of the interpreter drop what isn't accepted without an error.
    environment.pop("PYTHONUNBUFFERED", None)
    command = f'exec "$0" -c "$1" {redirections}'
    return subprocess.run(
        ["/bin/sh", "-c", command, sys.executable, textwrap.dedent(program)],
        env=environment,
        capture_output=True,
        timeout=TIMEOUT_S,
        check=False,
    )


FAILING = """
    import sys
    from chicoryweir_daemon import logs
    {before}
    def fail():
        raise RuntimeError("x" * 10000)
    try:
        fail()
    except RuntimeError as error:
        logs.record_failure(error, "entry-1")
        sys.exit(1)
"""


# Guards against processes that end without a line that tells why.
@pytest.mark.parametrize("before", ["", "logs.configure_logs()"])
def test_failure_is_one_line_with_or_without_configured_logs(before):
    ended = _run(FAILING.format(before=before))
    assert ended.returncode == 1
    assert ended.stderr == b""
    (text,) = ended.stdout.splitlines()
    line = json.loads(text)
    assert line["event"] == "daemon_failed"
    assert line["event_id"] == catalogue.DAEMON_FAILED
    assert line["instance"] == "entry-1"
    assert line["detail"].startswith("RuntimeError('xxx")
    assert len(line["detail"]) == logs.MAX_DETAIL_LENGTH
    assert [frame.split(":")[0] for frame in line["frames"]] == ["<module>", "fail"]
    assert line["timestamp"].endswith("Z")


def test_failure_without_representation_is_logged():
    ended = _run("""
        from chicoryweir_daemon import logs
        class Odd(Exception):
            def __repr__(self):
                raise ValueError
        logs.record_failure(Odd(), "")
    """)
    assert ended.returncode == 0
    assert json.loads(ended.stdout)["detail"] == "Odd"


# Guards against a release without its libraries that ends with no line in the log.
def test_failure_to_import_a_library_is_logged():
    ended = _run("""
        import sys
        sys.modules["structlog"] = None
        from chicoryweir_daemon import logs
        try:
            logs.configure_logs()
        except ImportError as error:
            logs.record_failure(error, "")
    """)
    assert "structlog" in json.loads(ended.stdout)["detail"]


# Guards against an AttributeError of daemons that are started without outputs.
@pytest.mark.parametrize("redirections", [">&-", "2>&-", ">&- 2>&-", "<&- >&- 2>&-"])
def test_logs_are_configured_without_outputs(redirections):
    ended = _run(
        """
        from chicoryweir_daemon import logs
        logs.configure_logs()
        logs.make_event_log("entry-1")
        logs.flush_remaining(0.1)
        """,
        redirections,
    )
    assert ended.returncode == 0


def test_partial_lines_are_written_at_the_end():
    ended = _run("""
        import sys
        from chicoryweir_daemon import logs
        logs.configure_logs()
        print("partial", end="", file=sys.stderr)
        logs.flush_remaining(0.1)
    """)
    assert ended.stderr == b"partial"
