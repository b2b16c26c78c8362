"""Tests of decoding settings files, configurations and registrations."""

import json

import pytest

from chicoryweir_daemon.http1 import heads
from chicoryweir_daemon.http1 import limits
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import ways
from fleet_platform import decoding
from fleet_platform import headers
from fleet_platform import settings

SETTINGS = """\
node_name=front-telavi-1
ip=10.1.0.40
zone=telavi
listen.front=10.1.0.40:8227
listen.ready=10.1.0.40:8220
listen.directory=10.1.0.40:8224
internal_ports=7340,7355
seeds=10.1.0.40:8229,10.2.0.29:8229
heartbeat_ms=1200
bounds.grace_s=8
bounds.budget_ratio=0.2
bounds.budget_slack=90
bounds.budget_window_s=10
bounds.stall_ms=1500
bounds.ttl_max_s=5
bounds.cold_slack=2
platform.address=10.200.1.7:8223
app=10.1.0.40:9000
something.new=1
shedding=least_cost
"""


def _write(tmp_path, text):
    path = tmp_path / "settings.conf"
    path.write_text(text)
    return path


def test_settings_are_decoded_and_unknown_keys_ignored(tmp_path):
    loaded = settings.decode_settings(settings.load_fields(_write(tmp_path, SETTINGS)))
    assert str(loaded.callers) == "10.1.0.40:8227"
    assert loaded.seeds == ("10.1.0.40", "10.2.0.29")
    assert loaded.bounds.stall_s == 1.5
    assert (loaded.bounds.cold_over, loaded.bounds.cold_slack) == (1.0, 2.0)
    assert (loaded.peer_port, loaded.metrics_port) == (7340, 7355)
    assert loaded.shedding is ways.Way.LEAST_COST


# Guards against a change of what entries do without the key.
def test_way_to_decide_in_a_shortage_has_a_default():
    fields = settings.parse_fields(SETTINGS.replace("shedding=", "other="))
    loaded = settings.decode_settings(fields)
    assert loaded.shedding is ways.Way.BY_PRIORITY


@pytest.mark.parametrize(
    ("key", "value", "allowed"),
    [
        ("listen.front", "10.1.0.40", "HOST:PORT"),
        ("listen.front", "10.1.0.40:99999", "ports from 1 to 65535"),
        ("internal_ports", "7340", "two ports"),
        ("bounds.grace_s", "soon", "a number"),
        ("bounds.grace_s", "-1", "a number"),
        ("bounds.grace_s", "nan", "a number"),
        ("bounds.cold_slack", "-1", "a number"),
        ("platform.address", "", "missing"),
        ("shedding", "cheapest", "by_priority, objective_first, least_cost"),
    ],
)
def test_error_names_the_key_and_the_allowed_values(tmp_path, key, value, allowed):
    lines = [
        f"{key}={value}" if line.startswith(f"{key}=") else line
        for line in SETTINGS.splitlines()
    ]
    with pytest.raises(settings.SettingsError) as error:
        settings.decode_settings(settings.parse_fields("\n".join(lines)))
    assert key in str(error.value)
    assert allowed in str(error.value)


def test_file_change_is_reported_once(tmp_path):
    path = _write(tmp_path, SETTINGS)
    watched = settings.SettingsFile(path, settings.decode_settings)
    assert not watched.has_changed()
    path.write_text(SETTINGS.replace("grace_s=8", "grace_s=11"))
    assert watched.has_changed()
    assert not watched.has_changed()
    assert watched.load().bounds.grace_s == 11.0


def test_agent_settings_name_the_rank_on_the_same_machine(tmp_path):
    loaded = settings.decode_agent(settings.load_fields(_write(tmp_path, SETTINGS)))
    assert str(loaded.rank) == "10.1.0.40:9000"
    assert str(loaded.listener) == "10.1.0.40:7340"


def test_configuration_is_decoded():
    data = {
        "version": 7,
        "routes": [
            {
                "name": "r",
                "host": "H.example",
                "prefix": "/a/",
                "kind": "stream",
                "timeout_ms": 8000,
                "target_latency_ms": 502,
                "priority": 0,
                "traffic_split": [{"service": "s", "weight": 90}],
                "max_attempts": 2,
                "public": False,
                "session_affinity": True,
                "stream_resume": True,
                "gap_aim_ms": 120,
            }
        ],
        "services": [
            {"name": "s", "health_path": "/h", "max_connections": 3},
            {"name": "t", "cold_start_s": 3, "cold_per_s": 14},
        ],
        "tenants": [{"name": "w", "api_keys": ["k"], "priority": 1}],
    }
    decoded = decoding.ConfigurationDecoder().decode(json.dumps(data).encode())
    (route,) = decoded.routes
    assert (route.host, route.kind) == ("h.example", configuration.RouteKind.STREAM)
    assert (route.timeout_s, route.max_gap_s, route.retryable) == (8.0, 0.12, True)
    assert [(s.cold_start_s, s.cold_rate) for s in decoded.services] == [
        (0, 0),
        (3, 14),
    ]
    assert decoded.workspaces == (configuration.Workspace("w", ("k",), 1),)


_NEGATIVE = b'{"version":1,"routes":[],"services":[{"name":"s","cold_per_s":-1}]}'


@pytest.mark.parametrize("data", [b"", b"[]", b'{"version": 1}', b"\xff", _NEGATIVE])
def test_invalid_configuration_raises_value_error(data):
    with pytest.raises(ValueError, match="."):
        decoding.ConfigurationDecoder().decode(data)


def test_registration_with_a_group_is_decoded():
    data = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "telavi",
        "slots": 6,
        "state": "ready",
        "born": 5,
        "group": {"name": "g", "epoch": 2, "rank": 3, "state": "open"},
        "size": 16,
    }
    decoded = decoding.decode_registration("i-1", json.dumps(data).encode())
    assert isinstance(decoded, endpoints.Registered)
    assert decoded.endpoint.member == endpoints.GroupMember("g", 2, 3, 16, True)
    assert decoded.endpoint.born_ms == 5


@pytest.mark.parametrize(
    ("value", "shared"),
    [
        (b"5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (b"5C1E07A2:800 , e4402b7d:250", ("5c1e07a2",)),
        (b"e4402b7d:250", ()),
        (b"", ()),
        (b"," * 40, ()),
        (b"a" * 33 + b":1,b:1", ()),
    ],
)
def test_last_part_of_a_prompt_is_not_shared(value, shared):
    fields = (
        (b"Host", b"h.example"),
        (headers.ATTEMPT_ID, b"a1"),
        (headers.PROMPT_PREFIX, value),
    )
    head = heads.RequestHead(b"POST", b"/a/", fields, True)
    facts = headers.HeaderCodec().read_request(head)
    assert facts.shared_parts == shared


@pytest.mark.parametrize(
    ("value", "rate"),
    [
        (b"1.4", 1.4),
        (b"0", 0.0),
        (b" 12 ", 12.0),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"", None),
        (b"many", None),
    ],
)
def test_rate_limit_of_an_answer_is_read_if_it_is_a_number(value, rate):
    fields = ((headers.SERVER_LIMIT, value),)
    head = heads.AnswerHead(200, b"OK", fields, False, True)
    statement = headers.HeaderCodec().read_answer(head).statement
    assert statement.max_rate == rate


@pytest.mark.parametrize(
    ("status", "value", "rest_s"),
    [
        (503, b"3", 3.0),
        (503, b"0.25", 0.25),
        (429, b" 2 ", 2.0),
        (200, b"3", 0.0),
        (500, b"3", 0.0),
        (503, b"-1", 0.0),
        (503, b"Fri, 04 Dec 2026 17:00:00 GMT", 0.0),
    ],
)
def test_rest_is_read_from_answers_that_decline_a_request(status, value, rest_s):
    fields = ((headers.RETRY_AFTER, value),)
    head = heads.AnswerHead(status, b"", fields, False, True)
    assert headers.HeaderCodec().read_answer(head).statement.rest_s == rest_s


@pytest.mark.parametrize(("value", "cold_s"), [(b"2500", 2.5), (b"-1", 0), (b"x", 0)])
def test_cold_time_is_read_from_an_answer(value, cold_s):
    fields = ((headers.COLD_LEFT, value),)
    head = heads.AnswerHead(503, b"", fields, False, True)
    statement = headers.HeaderCodec().read_answer(head).statement
    assert (statement.cold_s, statement.unknown) == (cold_s, ())


@pytest.mark.parametrize(("value", "leaving"), [(b"1", True), (b"0", False)])
def test_leaving_endpoint_is_read_from_an_answer(value, leaving):
    fields = ((headers.SERVER_LEAVING, value),)
    head = heads.AnswerHead(200, b"", fields, False, True)
    assert headers.HeaderCodec().read_answer(head).statement.leaving is leaving


# Guards against a statement of an endpoint that no decision uses and no line names.
def test_unknown_statements_of_an_endpoint_are_named():
    names = (b"Server-Mood", b"At-Server", b"chicoryweir-load", b"X-Other", b"Date")
    fields = tuple((name, b"1") for name in names)
    head = heads.AnswerHead(200, b"", fields, False, True)
    statement = headers.HeaderCodec().read_answer(head).statement
    assert statement.unknown == ("server-mood", "chicoryweir-load")


def test_limits_on_what_is_received_have_defaults_and_bounds():
    fields = settings.parse_fields(
        "received.memory_mb=8\nreceived.header_lines=100\nreceived.unread_timeout_s=0.5"
    )
    received = settings._decode_received(fields)
    assert received.memory_bytes == 8 << 20
    assert received.compute_max_lines(16_384) == 100
    assert received.unread_timeout_s == 0.5
    default = settings._decode_received({})
    assert default == limits.DEFAULT
    assert default.compute_max_lines(16_384) == 4_096
    for key in ("memory_mb", "header_lines", "body_timeout_s", "unread_timeout_s"):
        with pytest.raises(settings.SettingsError):
            settings._decode_received({f"received.{key}": "0"})
