"""Tests that an error in what an entry records about requests cuts off no answer."""

import fleetstandins
import pytest
import structlog

PARTS = "5c1e07a2:800,91bd3f06:410,e4402b7d:250"
EVENTS = 5
# Pause between two events; the second one proves the prompt's parts.
PAUSE_S = 0.02

RECORDS = {
    "proof": lambda fleet: (fleet.crashes.parts, "record_proof"),
    "parts sent": lambda fleet: (fleet.crashes.parts, "record_sent"),
    "sent": lambda fleet: (fleet.crashes, "record_sent"),
    "ended": lambda fleet: (fleet.crashes, "record_ended"),
    "finished": lambda fleet: (fleet.crashes, "record_finished"),
    "hold": lambda fleet: (fleet.crashes.parts, "find_hold"),
    "quarantine": lambda fleet: (fleet.crashes, "find_quarantine"),
    "outlier": lambda fleet: (fleet.outliers, "record_outcome"),
    "statement": lambda fleet: (fleet, "record_statement"),
    "duration": lambda fleet: (fleet, "get_durations"),
}


# Guards against streams of sound endpoints that are cut in the middle, and against
# places of endpoints that stay taken.
@pytest.mark.parametrize("name", RECORDS)
async def test_stream_is_whole_though_a_record_of_it_fails(
    start_system, write_events, monkeypatch, name
):
    async def answer(_, headers, writer):
        await write_events(headers, writer, 1, EVENTS, PAUSE_S)

    system = await start_system(fleetstandins.EndpointStandIn("i-1", answer))

    def fail(*arguments, **keywords):
        raise KeyError("lost")

    monkeypatch.setattr(*RECORDS[name](system.entry._fleet), fail)
    with structlog.testing.capture_logs() as lines:
        for number in range(3):
            status, _, body, complete = await system.call(
                "/stream/x", attempt=f"a{number}", Chicoryweir_Prompt_Prefix=PARTS
            )
            assert (status, complete) == (200, True)
            assert body.count(b"\n\n") == EVENTS
    failed = [line for line in lines if line["event"] == "task_failed"]
    assert failed
    assert "lost" in failed[0]["detail"]
