"""Soak of real processes: signals, restarts, settings, ports and outputs by seed."""

from processsoak import runs
import pytest

# Many starts at once would delay each other.
pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("process soak")]


# Guards against processes that end by themselves or don't start on a user's machine.
@pytest.mark.parametrize("seed", [1, 2, 3, 4])
async def test_processes_run_until_a_signal_ends_them(seed):
    verdict = await runs.run_seed(seed, entries=3, agents=2)
    assert not verdict.faults, str(verdict)
