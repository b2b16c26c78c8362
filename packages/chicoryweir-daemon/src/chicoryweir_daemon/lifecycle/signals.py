"""Signals that stop or reload a process, handled from its first line to its end.

This module is imported before all others, so it imports little.
"""

from __future__ import annotations

import signal
import typing

if typing.TYPE_CHECKING:
    import asyncio
    import types

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


class SignalReceiver:
    """Receives the signals of a process in each of its phases.

    A signal that arrives before the event loop runs is kept for it. The handlers of an
    event loop itself would leave the default action, which ends the process, in force
    before they are installed and after the loop is closed.
    """

    def __init__(self) -> None:
        self._stop_requested = False
        self._reload_requested = False
        self._notify: typing.Callable[[], object] | None = None

    def install(self) -> None:
        """Installs the handlers; to be called before other modules are imported."""
        for number in STOP_SIGNALS:
            signal.signal(number, self._handle_stop)
        signal.signal(RELOAD_SIGNAL, self._handle_reload)
        # A process inherits the blocked signals of the program that starts it.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (*STOP_SIGNALS, RELOAD_SIGNAL))

    def attach(
        self,
        loop: asyncio.AbstractEventLoop,
        stop: asyncio.Event,
        reload: asyncio.Event,
    ) -> None:
        """Sets the events in the loop for received signals and for those to come."""

        def set_events() -> None:
            if self._stop_requested:
                stop.set()
            if self._reload_requested:
                self._reload_requested = False
                reload.set()

        self._notify = lambda: loop.call_soon_threadsafe(set_events)
        loop.call_soon(set_events)

    def detach(self) -> None:
        """Stops using the loop; later signals have no effect."""
        self._notify = None

    def ignore(self) -> None:
        """Ignores signals until the process ends.

        The interpreter restores the default action of handled signals before it ends,
        but not that of ignored ones.
        """
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
            signal.signal(number, signal.SIG_IGN)

    def _handle_stop(self, number: int, frame: types.FrameType | None) -> None:
        self._stop_requested = True
        if self._notify is not None:
            self._notify()

    def _handle_reload(self, number: int, frame: types.FrameType | None) -> None:
        self._reload_requested = True
        if self._notify is not None:
            self._notify()
