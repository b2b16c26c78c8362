"""Tests of the commands: output, exit codes, failover and lost replies."""

import asyncio
import collections.abc
import json
import pathlib
import typing

import endlesspeers
import httpx
import pytest
import typer.testing

from chicoryweir_cli import app
from chicoryweir_cli import client
from chicoryweir_cli import command_helpers
from chicoryweir_cli import jsonc

EXAMPLE = pathlib.Path(__file__).parents[3] / "docs/examples/settings.jsonc"
Handler = collections.abc.Callable[[httpx.Request], httpx.Response]


class CommandRunner:
    """Runs commands against entries whose responses a function returns."""

    def __init__(self, directory: pathlib.Path, patch: pytest.MonkeyPatch) -> None:
        self.directory = directory
        self.patch = patch
        self.requests: list[str] = []

    def run(
        self, arguments: list[str], handler: Handler | None = None
    ) -> typer.testing.Result:
        def record(request: httpx.Request) -> httpx.Response:
            assert request.headers["Authorization"] == "Bearer k"
            self.requests.append(f"{request.method} {request.url}")
            assert handler is not None
            return handler(request)

        file = self.directory / "client.jsonc"
        file.write_text('{"entries": ["http://a", "http://b"], "operator_key": "k",}')
        transport = command_helpers.TransportOverride(httpx.MockTransport(record))
        self.patch.setattr(command_helpers, "transport_override", transport)
        environment = {command_helpers.CLIENT_VARIABLE: str(file)}
        return typer.testing.CliRunner().invoke(app.app, arguments, env=environment)


@pytest.fixture(name="runner")
def make_runner(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> CommandRunner:
    return CommandRunner(tmp_path, monkeypatch)


EVACUATE = ["evacuate", "telavi", "--reason", "fire"]
APPLY = ["settings", "apply", str(EXAMPLE), "--expect-version", "4", "--json"]


def make_handler(status: int, **body: typing.Any) -> Handler:
    return lambda request: httpx.Response(status, json=body)


def test_example_file_passes_the_check(runner: CommandRunner) -> None:
    result = runner.run(["settings", "check", str(EXAMPLE), "--json"])
    assert (result.exit_code, json.loads(result.stdout)["faults"]) == (0, [])


def test_check_names_file_line_path_and_allowed_values(runner: CommandRunner) -> None:
    file = runner.directory / "bad.jsonc"
    text = EXAMPLE.read_text().replace('"weight": 4', '"weight": -4')
    file.write_text(text.replace('"kind": "plain"', '"kind": "odd"'))
    result = runner.run(["settings", "check", str(file)])
    assert result.exit_code == 1
    assert "bad.jsonc:21:34: /services/purchase-ledger/kind:" in result.stdout
    assert "allowed: one of model, plain" in result.stdout
    assert "/relay/settings/weight: value is too small; found -4;" in result.stdout


def test_check_tells_warnings_and_differences(runner: CommandRunner) -> None:
    file = runner.directory / "settings.jsonc"
    text = EXAMPLE.read_text()
    in_force = jsonc.parse_bytes(text.encode()).document
    changed = '"max_attempts": 4, "burst_tokens": 1'
    file.write_text(text.replace('"max_attempts": 3', changed))
    plain = runner.run(["settings", "check", str(file)])
    assert (plain.exit_code, runner.requests) == (0, [])
    assert ":25:76: warning: /fleet/settings/burst_tokens:" in plain.stdout
    assert runner.run(["settings", "check", str(file), "--strict"]).exit_code == 1
    command = ["settings", "check", str(file), "--compare"]
    result = runner.run([*command, "--json"], make_fleet(in_force, []))
    printed = json.loads(result.stdout)
    assert (result.exit_code, printed["compared_with"]) == (0, 7)
    assert [change["path"] for change in printed["changes"]] == [
        "/fleet/settings/burst_tokens",
        "/fleet/settings/max_attempts",
    ]
    assert len(printed["warnings"]) == 1
    text_result = runner.run(command, make_fleet(in_force, []))
    assert "2 differences from version 7" in text_result.stdout
    assert runner.run(command, make_handler(503)).exit_code == 3


def test_show_effective_names_the_node_of_each_value(runner: CommandRunner) -> None:
    path = "telavi/model-desk/relay/urgent"
    command = ["settings", "show", path, "--effective", "--file", str(EXAMPLE)]
    result = runner.run([*command, "--json"])
    values = {item["name"]: item for item in json.loads(result.stdout)["values"]}
    assert values["deadline_ms"]["value"] == 4000
    assert values["drain_timeout_ms"]["from"] == "/fleet/places/telavi"
    assert values["retry_ratio"]["from"] == "defaults"


def test_apply_prints_the_accepted_version(runner: CommandRunner) -> None:
    result = runner.run(APPLY, make_handler(200, version=5))
    assert (result.exit_code, json.loads(result.stdout)["version"]) == (0, 5)


@pytest.mark.parametrize("status", [401, 409, 422])
def test_refused_apply_exits_with_one(runner: CommandRunner, status: int) -> None:
    body = {"current_version": 6, "difference": [{"path": "/x", "ours": 1}]}
    result = runner.run(APPLY, make_handler(status, **body))
    assert (result.exit_code, json.loads(result.stdout)["current_version"]) == (1, 6)
    assert len(runner.requests) == 1


def make_fleet(document: typing.Any, changes: list[typing.Any]) -> Handler:
    """Returns an entry of two places, which collects the changes that it accepts."""
    places = [{"place": name, "has_endpoints": True} for name in ("telavi", "gurjaani")]

    def handle(request: httpx.Request) -> httpx.Response:
        if request.url.path == "/operator/status":
            return httpx.Response(200, json={"places": places})
        if request.method == "POST":
            changes.append(json.loads(request.content))
            return httpx.Response(200, json={"version": 8})
        return httpx.Response(200, json={"version": 7, "tree": document})

    return handle


@pytest.mark.parametrize("undo", [False, True])
def test_evacuate_writes_the_next_version(runner: CommandRunner, undo: bool) -> None:
    evacuated = {"places": {"telavi": {"settings": {"evacuated": True}}}}
    old, new = ({"fleet": {"places": {}}}, {"fleet": evacuated})
    changes: list[typing.Any] = []
    command = ["evacuate", "telavi", "--reason", "fire", "--json"]
    handler = make_fleet(new if undo else old, changes)
    result = runner.run([*command, "--undo"] if undo else command, handler)
    assert result.exit_code == 0
    assert changes[0]["tree"] == (old if undo else new)
    assert (changes[0]["expect_version"], changes[0]["reason"]) == (7, "fire")
    printed = json.loads(result.stdout)
    assert (printed["version"], printed["evacuated"]) == (8, not undo)


@pytest.mark.parametrize(
    ("place", "words"),
    [("telavi", "last place"), ("nowhere", "gurjaani, telavi"), ("", "no place")],
)
def test_evacuate_refuses_unknown_and_last_place(
    runner: CommandRunner, place: str, words: str
) -> None:
    document = {"fleet": {"places": {"gurjaani": {"settings": {"evacuated": True}}}}}
    changes: list[typing.Any] = []
    command = ["evacuate", place, "--reason", "fire"]
    result = runner.run(command, make_fleet(document, changes))
    assert (result.exit_code, words in result.stderr) == (1, True)
    again = ["evacuate", "gurjaani", "--reason", "fire"]
    assert runner.run(again, make_fleet(document, changes)).exit_code == 0
    assert changes == []


@pytest.mark.parametrize(
    ("status", "code", "words"),
    [
        (409, 1, "current version is 9"),
        (504, 3, "Repeat the command;"),
        (503, 3, "nothing was changed"),
    ],
)
def test_evacuate_reports_conflicts_and_unknown_outcomes(
    runner: CommandRunner, status: int, code: int, words: str
) -> None:
    answer = make_fleet({"fleet": {}}, [])

    def handle(request: httpx.Request) -> httpx.Response:
        if request.method == "POST":
            return httpx.Response(status, json={"current_version": 9})
        return answer(request)

    result = runner.run(EVACUATE, handle)
    assert (result.exit_code, words in result.stdout + result.stderr) == (code, True)


def test_apply_with_lost_reply_is_retried_at_another_entry(
    runner: CommandRunner,
) -> None:
    change_ids: list[str] = []

    def handle(request: httpx.Request) -> httpx.Response:
        change_ids.append(json.loads(request.content)["change_id"])
        if request.url.host == "a":
            raise httpx.ReadError("cut")
        return httpx.Response(200, json={"version": 5})

    assert runner.run(APPLY, handle).exit_code == 0
    assert len(change_ids) == 2
    assert change_ids[0] == change_ids[1]


def test_apply_without_any_reply_reads_the_history(runner: CommandRunner) -> None:
    def handle(request: httpx.Request) -> httpx.Response:
        if request.method == "POST":
            raise httpx.ReadTimeout("slow")
        versions = [{"version": 5, "change_id": "mine"}]
        return httpx.Response(200, json={"versions": versions})

    assert runner.run([*APPLY, "--change-id", "mine"], handle).exit_code == 0
    unknown = runner.run([*APPLY, "--change-id", "other"], handle)
    assert unknown.exit_code == 3
    assert "--change-id other" in unknown.stderr


def test_apply_without_the_store_reports_that_nothing_changed(
    runner: CommandRunner,
) -> None:
    result = runner.run(APPLY, make_handler(503, detail="the store is down"))
    assert result.exit_code == 3
    assert "nothing was changed" in result.stderr
    assert [line.split()[0] for line in runner.requests] == ["POST", "POST"]


def test_unreachable_entries_exit_with_three(runner: CommandRunner) -> None:
    def refuse(request: httpx.Request) -> httpx.Response:
        raise httpx.ConnectError("refused")

    for command in (["status"], ["audit"], ["drain", "agent-1"], EVACUATE, APPLY):
        assert runner.run(command, refuse).exit_code == 3
    entries = [request.split("/")[2] for request in runner.requests[:2]]
    assert entries == ["a", "b"]


@pytest.mark.parametrize(
    "command",
    [
        ["settings", "apply", str(EXAMPLE)],
        ["evacuate", "telavi"],
        ["settings", "check", "absent.jsonc"],
        ["status", "--client", "absent.jsonc"],
        ["settings", "show", "a/b/c/odd", "--effective", "--file", str(EXAMPLE)],
    ],
)
def test_invalid_usage_exits_with_two(
    runner: CommandRunner, command: list[str]
) -> None:
    assert runner.run(command).exit_code == 2


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
    runner: CommandRunner, command: list[str], body: dict[str, typing.Any]
) -> None:
    assert runner.run(command, make_handler(200, **body)).exit_code == 0
    printed = runner.run([*command, "--json"], make_handler(200, **body))
    assert isinstance(json.loads(printed.stdout), dict)


# Guards against a command that keeps what a faulty entry sends without end.
@pytest.mark.parametrize("kind", endlesspeers.ENDLESS)
async def test_answer_without_end_is_given_up(
    monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    monkeypatch.setattr(client, "TIMEOUT_S", 0.5)
    monkeypatch.setattr(client, "MAX_REPLY_BYTES", 8 << 20)
    async with endlesspeers.EndlessPeer(kind) as peer:
        operators = client.Client(client.Config((peer.url,), "k"))
        async with asyncio.timeout(5.0):
            read = await asyncio.to_thread(operators.get, "/x")
            changed = await asyncio.to_thread(operators.post, "/x", {})
    assert isinstance(read, client.Unreachable)
    assert isinstance(changed, client.ReplyLost)
