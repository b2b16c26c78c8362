"""Tests of the operators' HTTP API and commands on a running fleet."""

from __future__ import annotations

import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import time

import pytest

pytestmark = pytest.mark.xdist_group("fleet")


def _run(fleet, *arguments: str) -> subprocess.CompletedProcess[str]:
    environment = {**os.environ, "CHICORYWEIR_CLIENT": fleet.ready_document["settings"]}
    command = [sys.executable, "-m", "chicoryweir_cli", *arguments]
    return subprocess.run(
        command, env=environment, capture_output=True, text=True, check=False
    )


def _read_version(fleet) -> int:
    version: int = fleet.operate("/settings").json()["version"]
    return version


def test_operator_api_requires_the_operator_key(fleet) -> None:
    caller = fleet.call("/operator/status", method="GET")
    without_key = fleet.call("/operator/status", method="GET", key=None)
    assert (caller.status_code, without_key.status_code) == (401, 401)


def test_change_applies_at_every_entry_and_is_audited(fleet) -> None:
    shown = fleet.operate("/settings").json()
    tree = shown["tree"]
    tree["fleet"]["settings"]["max_attempts"] = 4
    change = {"expect_version": shown["version"], "tree": tree, "reason": "test"}
    applied = fleet.operate("/settings", change)
    assert applied.json()["version"] == shown["version"] + 1
    conflicting = fleet.operate("/settings", change, entry=1)
    assert conflicting.status_code == 409
    assert conflicting.json()["current_version"] == shown["version"] + 1
    rows = fleet.operate("/audit").json()["rows"]
    assert rows[-1]["path"] == "/fleet/settings/max_attempts"
    assert rows[-1]["who"] == "dato"


def test_invalid_change_reports_every_fault(fleet) -> None:
    shown = fleet.operate("/settings").json()
    tree = shown["tree"]
    tree["fleet"]["settings"]["weight"] = -1
    tree["services"]["x"] = {"kind": "odd"}
    change = {"expect_version": shown["version"], "tree": tree}
    answer = fleet.operate("/settings", change)
    paths = {fault["path"] for fault in answer.json()["faults"]}
    assert answer.status_code == 422
    assert paths == {"/fleet/settings/weight", "/services/x/kind"}


def test_explain_lists_the_steps_of_a_request(fleet) -> None:
    answer = fleet.chat("explain me", max_tokens=2)
    request_id = answer.headers["x-request-id"]
    explained = fleet.operate(f"/explain/{request_id}", entry=1).json()
    steps = {record["step"] for record in explained["records"]}
    assert explained["found"]
    assert {"admission", "routing", "queue", "endpoint", "answer"} <= steps


@pytest.mark.parametrize(
    "arguments",
    [
        ("settings", "show"),
        ("settings", "history"),
        ("status",),
        ("audit",),
        ("events",),
    ],
)
def test_command_prints_json(fleet, arguments) -> None:
    done = _run(fleet, *arguments, "--json")
    assert done.returncode == 0, done.stderr
    json.loads(done.stdout)


def test_apply_command_rejects_an_outdated_version(
    fleet, tmp_path: pathlib.Path
) -> None:
    shown = fleet.operate("/settings").json()
    path = tmp_path / "settings.jsonc"
    shown["tree"]["fleet"]["settings"]["retry_ratio"] = 0.2
    path.write_text("// by hand\n" + json.dumps(shown["tree"]))
    version = str(shown["version"])
    first = _run(fleet, "settings", "apply", str(path), "--expect-version", version)
    second = _run(fleet, "settings", "apply", str(path), "--expect-version", version)
    assert (first.returncode, second.returncode) == (0, 1)
    assert _read_version(fleet) == shown["version"] + 1


def test_status_command_reports_an_unreachable_fleet_by_its_exit_code(
    fleet, tmp_path
) -> None:
    path = tmp_path / "client.json"
    path.write_text('{"entries": ["http://127.0.0.1:1"], "operator_key": "x"}')
    done = subprocess.run(
        [sys.executable, "-m", "chicoryweir_cli", "status", "--client", str(path)],
        capture_output=True,
        check=False,
    )
    assert done.returncode == 3


def _count_runs(fleet, endpoint: str) -> int:
    runs_by_body = fleet.read_runs()["by_body"].values()
    return sum(runs.get(endpoint, 0) for runs in runs_by_body)


def _find_place(fleet, entry: int, place: str) -> dict[str, object]:
    places = fleet.operate("/status", entry=entry).json()["places"]
    found: dict[str, object] = next(item for item in places if item["place"] == place)
    return found


def _wait_for_place(fleet, name: str, value: object) -> None:
    """Waits until both entries report a value of the place of engine-2."""
    until = time.monotonic() + 10.0
    while any(_find_place(fleet, entry, "gurjaani")[name] != value for entry in (0, 1)):
        assert time.monotonic() < until
        time.sleep(0.05)


def _evacuate(fleet, *options: str) -> None:
    """Evacuates the place of engine-2 and waits until both entries know it."""
    command = ("evacuate", "gurjaani", "--reason", "power", *options)
    done = _run(fleet, *command, "--json")
    assert done.returncode == 0, done.stderr
    _wait_for_place(fleet, "evacuated", "--undo" not in options)


def test_evacuated_place_gets_no_request_and_its_streams_end_whole(fleet) -> None:
    """Guards against requests to a place that operators are about to switch off."""

    def stream(number: int) -> str:
        text: str = fleet.chat(
            f"stream {number}", number % 2, stream=True, max_tokens=250
        ).text
        return text

    before_streams = _count_runs(fleet, "engine-2")
    with concurrent.futures.ThreadPoolExecutor(12) as executor:
        streams = [executor.submit(stream, number) for number in range(12)]
        until = time.monotonic() + 10.0
        while _count_runs(fleet, "engine-2") == before_streams:
            assert time.monotonic() < until
            time.sleep(0.05)
        _evacuate(fleet)
        started = _count_runs(fleet, "engine-2")
        for number in range(24):
            answer = fleet.chat(f"later {number}", number % 2, max_tokens=2)
            assert answer.status_code == 200
        assert all("data: [DONE]" in item.result() for item in streams)
    assert _count_runs(fleet, "engine-2") == started
    _wait_for_place(fleet, "running_requests", 0)
    assert fleet.operate("/audit").json()["rows"][-1]["reason"] == "power"
    _evacuate(fleet, "--undo")
