"""Tests of real processes from their start to their end, one disturbance each."""

import signal

from processsoak import processes
from processsoak import runs
from processsoak import schedule
from processsoak import settingsfiles
from processsoak import verdict as verdicts
import pytest

# Many starts at once would delay each other.
pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("process lifecycle")]
# Times since the start of a process, in seconds: while it imports, while it opens its
# listeners, and later. One before its first line is judged as such.
MOMENTS = (0.15, 0.25, 0.35, 0.5, 0.7, 0.9, 1.1, 1.4)
# A start takes most of a second of a processor, so starts together delay each other.
STAGGER_S = 0.7
PLAIN = schedule.Life()
ENTRY_PORTS = (
    ("peer", False),
    ("peer", True),
    ("metrics", False),
    ("front", False),
    ("ready", False),
    ("directory", False),
)


async def _play_on_both_roles(*series):
    """Plays each series of lives on an entry and on an agent; returns the verdict."""
    lives = {}
    for number, series_lives in enumerate(series):
        lives[f"entry-{number}"] = lives[f"agent-{number}"] = series_lives
    return await runs.play(schedule.Schedule(lives))


async def _play_at_moments(role, create_lives):
    """Plays the lives for each moment on a machine of its own; returns the verdict."""
    lives = {f"{role}-{at_s}": create_lives(at_s) for at_s in MOMENTS}
    return await runs.play(schedule.Schedule(lives, stagger_s=STAGGER_S))


# Guards against a stop signal at the start that ends the process by its default action.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("role", ["entry", "agent"])
async def test_process_stops_as_planned_at_any_time_after_its_start(role, number):
    def create_lives(at_s):
        end = schedule.End(schedule.Signals(at_s, number))
        return schedule.Life(end=end), PLAIN

    verdict = await _play_at_moments(role, create_lives)
    assert not verdict.faults, str(verdict)
    assert verdict.early_ends < verdict.ends / 2


# Guards against a request to reload during the start that ends the process.
@pytest.mark.parametrize("role", ["entry", "agent"])
async def test_process_survives_a_hangup_at_any_time_after_its_start(role):
    def create_lives(at_s):
        return (schedule.Life(signals=(schedule.Signals(at_s, signal.SIGHUP),)),)

    verdict = await _play_at_moments(role, create_lives)
    assert not verdict.faults, str(verdict)
    assert verdict.early_ends < verdict.ends / 2


# Guards against a signal that ends the process while the first lines of start.py import
# what handles it.
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("role", ["entry", "agent"])
async def test_signal_is_handled_once_the_first_line_has_run(tmp_path, role, number):
    for attempt in range(5):
        log_path = tmp_path / f"{attempt}.log"
        process = processes.Process(
            role, "127.0.0.1", tmp_path / "none", log_path, processes.Output.FILE
        )
        try:
            await process.wait_for_first_line(timeout_s=5.0)
            process.send(number)
            if number == signal.SIGHUP:
                assert await process.wait(0.5) is None
                process.send(signal.SIGTERM)
            assert await process.wait(settingsfiles.GRACE_S) == 0
            assert verdicts.has_cause_line(process)
        finally:
            process.end()


# Guards against a process that ends or never serves since a port is still in use.
@pytest.mark.parametrize(("name", "is_udp"), ENTRY_PORTS)
async def test_entry_waits_until_each_of_its_ports_is_free(name, is_udp):
    life = schedule.Life(port=schedule.TakenPort(name, is_udp, for_s=2.5))
    verdict = await runs.play(schedule.Schedule({"entry-1": (life,)}))
    assert not verdict.faults, str(verdict)
    assert verdict.events["listener_unavailable"]


# Guards against a process that ends since its address is in use.
async def test_agent_waits_until_its_port_is_free():
    life = schedule.Life(port=schedule.TakenPort("peer", is_udp=False, for_s=2.5))
    verdict = await runs.play(schedule.Schedule({"agent-1": (life,)}))
    assert not verdict.faults, str(verdict)
    assert verdict.events["listener_unavailable"]


# Guards against a process that ends since the one before still uses its ports.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_process_started_beside_a_stopping_one_replaces_it(number):
    end = schedule.End(schedule.Signals(2.0, number), starts_beside=True)
    verdict = await _play_on_both_roles((schedule.Life(end=end), PLAIN))
    assert not verdict.faults, str(verdict)


# Guards against a process that ends since its settings file isn't written yet.
@pytest.mark.parametrize(
    ("content", "kept_share"),
    [
        (settingsfiles.Content.MISSING, 0.0),
        (settingsfiles.Content.CUT, 0.0),
        (settingsfiles.Content.CUT, 0.2),
        (settingsfiles.Content.CUT, 0.8),
        (settingsfiles.Content.INVALID, 1.0),
    ],
)
async def test_process_waits_for_a_valid_settings_file(content, kept_share):
    life = schedule.Life(content=content, kept_share=kept_share, repaired_s=2.5)
    verdict = await _play_on_both_roles((life,))
    assert not verdict.faults, str(verdict)
    assert verdict.events["settings_file_bad"] >= 2


# Guards against a process that keeps a wrong address which it read from a file that was
# half written, and that never serves.
async def test_process_uses_the_whole_address_once_the_settings_file_is_whole():
    life = schedule.Life(content=settingsfiles.Content.CUT_PORT, repaired_s=2.5)
    verdict = await _play_on_both_roles((life,))
    assert not verdict.faults, str(verdict)


# Guards against a process that waits for its settings or a port and can't be stopped.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_waiting_process_stops_as_planned(number):
    end = schedule.End(schedule.Signals(1.5, number))
    port = schedule.TakenPort("peer", is_udp=False, for_s=3.0)
    verdict = await _play_on_both_roles(
        (
            schedule.Life(
                content=settingsfiles.Content.MISSING, repaired_s=3.0, end=end
            ),
            PLAIN,
        ),
        (schedule.Life(port=port, end=end), PLAIN),
    )
    assert not verdict.faults, str(verdict)


# Guards against a process that ends since nobody takes its output.
@pytest.mark.parametrize("output", processes.Output, ids=lambda output: output.name)
async def test_process_starts_and_stops_with_any_output(output):
    life = schedule.Life(output=output, output_closes_s=1.0)
    verdict = await _play_on_both_roles((life,))
    assert not verdict.faults, str(verdict)


# Guards against a stop that signals delay beyond the grace period.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_stop_ends_in_a_storm_of_signals(number):
    storm = schedule.Signals(2.0, number, 50, schedule.STORM_INTERVAL_S)
    life = schedule.Life(end=schedule.End(storm, hangups=12_000))
    verdict = await _play_on_both_roles((life, PLAIN))
    assert not verdict.faults, str(verdict)


# Guards against a process that ends since it may open few files.
async def test_process_with_few_descriptors_ends_only_by_a_signal():
    end = schedule.End(schedule.Signals(3.0, signal.SIGTERM))
    verdict = await _play_on_both_roles(
        *((schedule.Life(max_descriptors=n, end=end), PLAIN) for n in (16, 24, 40))
    )
    assert not verdict.faults, str(verdict)
