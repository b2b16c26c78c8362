"""Sets the window for which agents batch tokens, according to the relay rate.

Relaying several tokens at once costs an entry about as much as relaying one, so agents
batch them at high rates. At low rates, each token is relayed as soon as it is produced.
"""

from __future__ import annotations

from chicoryweir_policy import messages
from chicoryweir_policy.cores.entry import state as entry_state

MEASUREMENT_PERIOD_S = 1.0
SMOOTHING_FACTOR = 0.5
# Pairs of the minimum relay rate, in tokens per second, and the batching window that
# applies from that rate on, in seconds; highest rate first.
WINDOWS_BY_MIN_RATE = ((6000.0, 0.035), (1500.0, 0.03))
# Hysteresis: a window is left only below this share of its minimum rate.
EXIT_RATE_SHARE = 0.7


def choose_window(rate_per_s: float, current_window_s: float) -> float:
    """Returns the batching window, in seconds; 0 for no batching.

    Args:
        rate_per_s: Relayed tokens per second.
        current_window_s: Window in force, in seconds; 0 for none.
    """
    for min_rate_per_s, window_s in WINDOWS_BY_MIN_RATE:
        threshold_share = EXIT_RATE_SHARE if current_window_s >= window_s else 1.0
        if rate_per_s >= min_rate_per_s * threshold_share:
            return window_s
    return 0.0


class RelayWindow:
    """Measures the relay rate and sends the batching window to the agents."""

    def __init__(self, state: entry_state.EntryState) -> None:
        self._state = state
        self._mean_rate_per_s = 0.0
        self._window_s = 0.0
        self._measured_at: float | None = None

    def open_link(self, link: entry_state.AgentLink, out: entry_state.Commands) -> None:
        """Sends the window in force to the agent of a new link."""
        if self._window_s:
            self._state.send(link, messages.RelayPace(self._window_s), out)

    def tick(self, now: float, out: entry_state.Commands) -> None:
        """Measures the rate every `MEASUREMENT_PERIOD_S` and sends a changed window."""
        if self._measured_at is None:
            self._measured_at = now
        elapsed_s = now - self._measured_at
        if elapsed_s < MEASUREMENT_PERIOD_S:
            return
        rate_per_s = self._state.events_relayed / elapsed_s
        self._state.events_relayed = 0
        self._measured_at = now
        self._mean_rate_per_s += SMOOTHING_FACTOR * (rate_per_s - self._mean_rate_per_s)
        window_s = choose_window(self._mean_rate_per_s, self._window_s)
        if window_s == self._window_s:
            return
        self._window_s = window_s
        for link in self._state.agent_links.values():
            self._state.send(link, messages.RelayPace(window_s), out)
