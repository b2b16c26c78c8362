"""Tests of the check of settings files and configurations."""

import json
import pathlib
import subprocess
import sys

import fleetstandins
import hypothesis
from hypothesis import strategies as st
import pytest

from fleet_platform import checking
from fleet_platform import configurationfile
from fleet_platform import decoding

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


def test_all_faults_of_a_configuration_are_told_with_their_paths(check):
    config = fleetstandins.build_configuration()
    config["routes"][0]["timeout_ms"] = "soon"
    del config["routes"][1]["name"]
    config["routes"][2] = 5
    config["routes"][3]["kind"] = "odd"
    config["limits"] = "none"
    config["tenants"][0]["api_keys"] = ["k", 2]
    faults = check("configuration", json.dumps(config))
    expected = "routes[0].timeout_ms routes[1].name routes[2] routes[3].kind limits"
    assert [fault.split(": ")[1].removeprefix("$.") for fault in faults] == [
        *expected.split(),
        "tenants[0].api_keys[1]",
    ]


json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-2, 2) | st.text(max_size=2),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(
            st.sampled_from(["name", "kind", "routes"]), inner, max_size=2
        )
    ),
    max_leaves=4,
)


@hypothesis.given(st.data())
@hypothesis.settings(max_examples=150)
def test_check_has_faults_if_the_decoder_rejects(data):
    """Guards against an odd value that makes the check itself fail or repeat."""
    config = fleetstandins.build_configuration()
    for _ in range(data.draw(st.integers(1, 3))):
        target = config
        while True:
            keys = list(target) if isinstance(target, dict) else range(len(target))
            key = data.draw(st.sampled_from(list(keys)))
            inner = target[key]
            if not isinstance(inner, dict | list) or not inner:
                break
            if data.draw(st.booleans()):
                break
            target = inner
        target[key] = data.draw(json_values)
    encoded = json.dumps(config).encode()
    remarks = configurationfile.check(encoded)
    placed = [remark.path for remark in remarks if not remark.is_warning]
    try:
        decoding.ConfigurationDecoder().decode(encoded)
    except ValueError:
        assert len(placed) == len(set(placed)) >= 1


def test_warnings_name_misspelt_and_doubled_fields():
    config = fleetstandins.build_configuration()
    config["routes"][0]["max_atempts"] = config["routes"][0].pop("max_attempts")
    text = json.dumps(config).replace('"version": 7', '"version": 6, "version": 7')
    remarks = configurationfile.check(text.encode())
    assert all(remark.is_warning for remark in remarks)
    texts = [f"{remark.path} {remark.detail}" for remark in remarks]
    assert any("$.routes[0].max_atempts" in text for text in texts)
    assert any("'version' is doubled" in text for text in texts)


def test_command_compares_configurations_and_counts_warnings(tmp_path):
    before, after = tmp_path / "before.json", tmp_path / "after.json"
    config = fleetstandins.build_configuration()
    before.write_text(json.dumps(config))
    config["routes"][3]["timeout_ms"] = 400
    config["routes"].reverse()
    config["tenants"][0]["api_keys"].append("key-2")
    after.write_text(json.dumps(config))
    command = [sys.executable, str(START), "check", "configuration", str(after)]

    def run(*options):
        return subprocess.run(
            [*command, *options], capture_output=True, text=True, check=False
        )

    ended = run("--against", str(before))
    assert ended.returncode == 0
    assert "warning: $.routes[0].target_latency_ms: 0.5 s" in ended.stderr
    assert "/routes/slow/timeout_ms: 300 -> 400" in ended.stdout
    assert "key-2" not in ended.stdout
    strict = run("--strict", "--json", "--against", str(before))
    printed = json.loads(strict.stdout)
    assert (strict.returncode, printed["faults"]) == (1, [])
    assert printed["warnings"][0]["path"] == "$.routes[0].target_latency_ms"
    assert [change["path"] for change in printed["changes"]] == [
        "/routes/slow/timeout_ms",
        "/tenants/w/api_keys",
    ]
    assert run("--against", str(tmp_path / "none")).returncode == 2
    config["routes"][0]["service"] = "other"
    after.write_text(json.dumps(config))
    faulty = run()
    assert (faulty.returncode, faulty.stdout) == (1, "")
    assert "$.routes[0].service: 'other' is not among the services" in faulty.stderr


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
