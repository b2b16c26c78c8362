"""Tests of numbers in headers that no computation can use."""

import fleetstandins
import pytest

from chicoryweir_daemon.http1 import connections
from chicoryweir_daemon.http1 import heads
from fleet_platform import headers
from fleet_platform import settings

MANY_DIGITS = "9" * 5000


async def _answer(endpoint, fields, writer):
    attempt = fields["chicoryweir-attempt-id"]
    writer.write(fleetstandins.build_answer(attempt, **endpoint.extra))
    await writer.drain()


async def _start(start_system, **extra):
    endpoint = fleetstandins.EndpointStandIn("i-1", _answer)
    endpoint.extra = extra
    return await start_system(endpoint)


# Guards against a caller whose connection is cut because an exception answers for it.
@pytest.mark.parametrize("remaining", [MANY_DIGITS, "-1", "1e3", "\u00b2", "soon"])
async def test_remaining_time_that_is_no_number_is_answered_400(
    start_system, remaining
):
    system = await _start(start_system)
    fields = {"Chicoryweir-Deadline-Remaining-Ms": remaining}
    status, _, _, complete = await system.call("/again/x", **fields)
    assert (status, complete) == (400, True)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("Chicoryweir-Deadline-Remaining-Ms", "9" * 18),
        ("Chicoryweir-Token-Counts", f"{MANY_DIGITS},{MANY_DIGITS}"),
        ("Chicoryweir-Token-Counts", "\u00b2,1"),
        ("Chicoryweir-Length-Hint", MANY_DIGITS),
        ("Chicoryweir-Prompt-Prefix", f"a:{MANY_DIGITS},b:1"),
        ("Last-Event-Id", MANY_DIGITS),
    ],
)
async def test_odd_number_of_a_caller_does_not_keep_its_answer_away(
    start_system, name, value
):
    system = await _start(start_system)
    status, _, body, _ = await system.call("/again/x", **{name: value})
    assert (status, body) == (200, b"whole")


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("Server-Limit", "1e308"),
        ("Server-Limit", MANY_DIGITS),
        ("Retry-After", MANY_DIGITS),
        ("Keep-Alive", f"timeout={MANY_DIGITS}"),
        ("Chicoryweir-Weight-Versions", MANY_DIGITS),
    ],
)
async def test_odd_number_of_an_endpoint_does_not_keep_answers_away(
    start_system, name, value
):
    system = await _start(start_system, **{name: value})
    for attempt in ("a1", "a2"):
        status, _, body, _ = await system.call("/again/x", attempt=attempt)
        assert (status, body) == (200, b"whole")


# Guards against a stream that is cut at an event whose id has many digits.
async def test_event_ids_of_many_digits_are_passed_on(start_system):
    async def answer(endpoint, fields, writer):
        body = b"".join(
            b"id: %s%d\ndata: t\n\n" % (MANY_DIGITS.encode(), number)
            for number in range(3)
        )
        attempt = fields["chicoryweir-attempt-id"]
        writer.write(
            fleetstandins.build_answer(attempt, body, Content_Type="text/event-stream")
        )
        await writer.drain()

    system = await start_system(fleetstandins.EndpointStandIn("i-1", answer))
    status, _, body, complete = await system.call(
        "/stream/x", Last_Event_Id=MANY_DIGITS
    )
    assert (status, complete, body.count(b"data: t")) == (200, True, 3)


def test_sizes_have_a_bound():
    fields = (
        (b"Host", b"h"),
        (headers.ATTEMPT_ID, b"a"),
        (headers.TOKEN_COUNTS, b"9" * 18 + b",5"),
    )
    head = heads.RequestHead(b"POST", b"/", fields, True)
    facts = headers.HeaderCodec().read_request(head)
    assert facts.size.prompt_tokens == headers.MAX_TOKENS


# Guards against announcements that no other entry accepts.
def test_rest_and_rate_of_an_endpoint_have_a_bound():
    fields = ((headers.RETRY_AFTER, b"1e300"), (headers.SERVER_LIMIT, b"1e300"))
    head = heads.AnswerHead(503, b"", fields, False, True)
    statement = headers.HeaderCodec().read_answer(head).statement
    assert statement.rest_s == headers.MAX_REST_S
    assert statement.max_rate == headers.MAX_RATE


def test_idle_timeout_of_many_digits_is_not_used():
    fields = ((b"Keep-Alive", b"timeout=" + MANY_DIGITS.encode()),)
    head = heads.AnswerHead(200, b"", fields, False, True)
    parsed = connections._parse_idle_timeout(head)
    assert parsed == connections.DEFAULT_IDLE_TIMEOUT_S


def test_port_in_superscript_is_a_fault_of_the_settings():
    with pytest.raises(settings.SettingsError):
        settings._parse_port({"app": "h:\u00b2"}, "app", "\u00b2")
