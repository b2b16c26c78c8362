"""Tests of the commands: output, exit codes and lost replies."""

import collections.abc
import json
import pathlib
import typing

import httpx
import pytest
import typer.testing

from chicoryweir_cli import app
from chicoryweir_cli import command_helpers

EXAMPLE = pathlib.Path(__file__).parents[3] / "docs/examples/settings.jsonc"
Handler = collections.abc.Callable[[httpx.Request], httpx.Response]


class Desk:
    """Runs commands against entries that a function plays."""

    def __init__(self, directory: pathlib.Path, patch: pytest.MonkeyPatch) -> None:
        self.directory = directory
        self.patch = patch
        self.asked: list[str] = []

    def run(
        self, arguments: list[str], handler: Handler | None = None
    ) -> typer.testing.Result:
        def note(request: httpx.Request) -> httpx.Response:
            assert request.headers["Authorization"] == "Bearer k"
            self.asked.append(f"{request.method} {request.url}")
            assert handler is not None
            return handler(request)

        file = self.directory / "client.jsonc"
        file.write_text('{"entries": ["http://a", "http://b"], "operator_key": "k",}')
        transport = command_helpers.Transport(httpx.MockTransport(note))
        self.patch.setattr(command_helpers, "network", transport)
        environment = {command_helpers.CLIENT_VARIABLE: str(file)}
        return typer.testing.CliRunner().invoke(app.app, arguments, env=environment)


@pytest.fixture(name="desk")
def make_desk(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> Desk:
    return Desk(tmp_path, monkeypatch)


APPLY = ["settings", "apply", str(EXAMPLE), "--expect-version", "4", "--json"]


def answer(status: int, **body: typing.Any) -> Handler:
    return lambda request: httpx.Response(status, json=body)


def test_example_file_passes_the_check(desk: Desk) -> None:
    result = desk.run(["settings", "check", str(EXAMPLE), "--json"])
    assert (result.exit_code, json.loads(result.stdout)["faults"]) == (0, [])


def test_check_names_file_line_path_and_allowed_values(desk: Desk) -> None:
    file = desk.directory / "bad.jsonc"
    text = EXAMPLE.read_text().replace('"weight": 4', '"weight": -4')
    file.write_text(text.replace('"kind": "plain"', '"kind": "odd"'))
    result = desk.run(["settings", "check", str(file)])
    assert result.exit_code == 1
    assert "bad.jsonc:21:34: /services/purchase-ledger/kind:" in result.stdout
    assert "allowed: one of model, plain" in result.stdout
    assert "/relay/settings/weight: value is too small; found -4;" in result.stdout


def test_show_effective_tells_the_node_of_each_value(desk: Desk) -> None:
    path = "telavi/model-desk/relay/urgent"
    command = ["settings", "show", path, "--effective", "--file", str(EXAMPLE)]
    result = desk.run([*command, "--json"])
    values = {item["name"]: item for item in json.loads(result.stdout)["values"]}
    assert values["deadline_ms"]["value"] == 4000
    assert values["drain_timeout_ms"]["from"] == "/fleet/places/telavi"
    assert values["retry_ratio"]["from"] == "defaults"


def test_apply_prints_the_accepted_version(desk: Desk) -> None:
    result = desk.run(APPLY, answer(200, version=5))
    assert (result.exit_code, json.loads(result.stdout)["version"]) == (0, 5)


@pytest.mark.parametrize("status", [401, 409, 422])
def test_apply_that_is_refused_exits_with_one(desk: Desk, status: int) -> None:
    body = {"current_version": 6, "difference": [{"path": "/x", "ours": 1}]}
    result = desk.run(APPLY, answer(status, **body))
    assert (result.exit_code, json.loads(result.stdout)["current_version"]) == (1, 6)
    assert len(desk.asked) == 1


def test_apply_whose_reply_is_lost_is_repeated_at_another_entry(desk: Desk) -> None:
    seen: list[str] = []

    def play(request: httpx.Request) -> httpx.Response:
        seen.append(json.loads(request.content)["change_id"])
        if request.url.host == "a":
            raise httpx.ReadError("cut")
        return httpx.Response(200, json={"version": 5})

    assert desk.run(APPLY, play).exit_code == 0
    assert len(seen) == 2
    assert seen[0] == seen[1]


def test_apply_whose_replies_are_all_lost_reads_the_history(desk: Desk) -> None:
    def play(request: httpx.Request) -> httpx.Response:
        if request.method == "POST":
            raise httpx.ReadTimeout("slow")
        versions = [{"version": 5, "change_id": "mine"}]
        return httpx.Response(200, json={"versions": versions})

    assert desk.run([*APPLY, "--change-id", "mine"], play).exit_code == 0
    other = desk.run([*APPLY, "--change-id", "other"], play)
    assert other.exit_code == 3
    assert "--change-id other" in other.stderr


def test_apply_without_the_store_says_that_nothing_changed(desk: Desk) -> None:
    result = desk.run(APPLY, answer(503, detail="the store is down"))
    assert result.exit_code == 3
    assert "nothing was changed" in result.stderr
    assert [line.split()[0] for line in desk.asked] == ["POST", "POST"]


def test_unreachable_entries_exit_with_three(desk: Desk) -> None:
    def refuse(request: httpx.Request) -> httpx.Response:
        raise httpx.ConnectError("refused")

    for command in (["status"], ["audit"], ["drain", "agent-1"], APPLY):
        assert desk.run(command, refuse).exit_code == 3
    entries = [request.split("/")[2] for request in desk.asked[:2]]
    assert entries == ["a", "b"]


@pytest.mark.parametrize(
    "command",
    [
        ["settings", "apply", str(EXAMPLE)],
        ["settings", "check", "absent.jsonc"],
        ["status", "--client", "absent.jsonc"],
        ["settings", "show", "a/b/c/odd", "--effective", "--file", str(EXAMPLE)],
    ],
)
def test_wrong_usage_exits_with_two(desk: Desk, command: list[str]) -> None:
    assert desk.run(command).exit_code == 2


@pytest.mark.parametrize(
    ("command", "body"),
    [
        (["status"], {"instance": "entry-1", "outcomes": [{"name": "urgent"}]}),
        (["audit"], {"rows": [{"seq": 1, "who": "dato"}]}),
        (["events"], {"events": [{"event": 7}]}),
        (["explain", "r/1"], {"request_id": "r/1", "found": False, "records": []}),
        (["drain", "agent-1"], {"change_id": "c"}),
        (["settings", "history"], {"versions": [{"version": 1}]}),
        (["settings", "show"], {"version": 1, "tree": {"fleet": {}}}),
        (["settings", "diff", "1", "2"], {"version": 1, "tree": {}}),
    ],
)
def test_commands_print_text_and_json(
    desk: Desk, command: list[str], body: dict[str, typing.Any]
) -> None:
    assert desk.run(command, answer(200, **body)).exit_code == 0
    printed = desk.run([*command, "--json"], answer(200, **body))
    assert isinstance(json.loads(printed.stdout), dict)
