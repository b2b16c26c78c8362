"""Tests of the check of settings files and configurations."""

import json
import pathlib
import subprocess
import sys

import fleetstandins
import pytest

from fleet_platform import checking

START = pathlib.Path(__file__).parents[2] / "platform" / "start.py"
ENTRY = """\
node_name=front-telavi-1
ip=10.1.0.40
zone=telavi
listen.front=10.1.0.40:8227
listen.ready=10.1.0.40:8220
listen.directory=10.1.0.40:8224
internal_ports=7340,7355
seeds=10.1.0.40:8229
platform.address=10.200.1.7:8223
heartbeat_ms=1200
bounds.grace_s=8
bounds.budget_ratio=0.2
bounds.budget_slack=90
bounds.budget_window_s=10
bounds.stall_ms=1500
bounds.ttl_max_s=5
limits.cpu_share=0.537
limits.cores=2
limits.link_mbps=1000.0
"""


@pytest.fixture
def check(tmp_path):
    """Returns a function that checks a text and returns the faults as strings."""

    def run(kind, text):
        path = tmp_path / "file"
        path.write_text(text)
        faults = checking.check_file(kind, path)
        return [str(fault).removeprefix(str(path)) for fault in faults]

    return run


def test_valid_files_have_no_faults(check):
    assert check("entry", ENTRY) == []
    configuration = json.dumps(fleetstandins.build_configuration())
    assert check("configuration", configuration) == []


def test_all_faults_of_settings_are_told_with_line_value_and_allowed_values(check):
    text = (
        ENTRY.replace("10.1.0.40:8227", "nowhere")
        .replace("7340,7355", "7340")
        .replace("heartbeat_ms=1200", "heartbeat_ms=-1")
        .replace("bounds.stall_ms=1500", "bounds.stall_ms=soon")
        .replace("zone=telavi\n", "")
        .replace("node_name", "just words\nnode_name")
    )
    faults = check("entry", text)
    assert [fault.split(" ")[0] for fault in faults[:5]] == [
        ":1:",
        ":4:",
        ":7:",
        ":10:",
        ":15:",
    ]
    assert "KEY=VALUE" in faults[0]
    assert "listen.front='nowhere': must be HOST:PORT" in faults[1]
    assert "bounds.stall_ms='soon': must be a number of 0 or more" in faults[4]
    assert faults[5:] == [": zone: missing; a value is needed"]


@pytest.mark.parametrize("kind", ["entry", "agent"])
def test_empty_file_names_each_missing_key_once(check, kind):
    faults = check(kind, "")
    assert len(faults) == len(set(faults)) > 2


def test_bad_configuration_names_the_path_in_it(check):
    config = fleetstandins.build_configuration()
    config["routes"][1]["timeout_ms"] = "soon"
    (fault,) = check("configuration", json.dumps(config))
    assert "$.routes[1].timeout_ms" in fault
    assert check("configuration", "{")


def test_unreadable_file_is_a_fault(tmp_path):
    (fault,) = checking.check_file("entry", tmp_path / "none")
    assert "No such file" in str(fault)


def test_command_prints_faults_and_fails(tmp_path):
    path = tmp_path / "settings.conf"
    path.write_text(ENTRY.replace("=1200", "=often"))
    command = [sys.executable, str(START), "check", "entry", str(path)]
    ended = subprocess.run(command, capture_output=True, text=True, check=False)
    assert ended.returncode == 1
    assert f"{path}:10: heartbeat_ms='often'" in ended.stderr
    path.write_text(ENTRY)
    ended = subprocess.run(command, capture_output=True, text=True, check=False)
    assert (ended.returncode, ended.stderr) == (0, "")
    usage = subprocess.run(command[:3], capture_output=True, text=True, check=False)
    assert usage.returncode == 2
