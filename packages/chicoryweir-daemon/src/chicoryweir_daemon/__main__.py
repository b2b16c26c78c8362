"""Starts the command line of the daemons with signals and outputs under control."""

from __future__ import annotations

from chicoryweir_daemon import logs
from chicoryweir_daemon import outputs
from chicoryweir_daemon.lifecycle import signals

# Time for which the end of the process waits for the reader of its log.
FLUSH_TIMEOUT_S = 0.2


def main() -> None:
    """Runs the command line."""
    outputs.open_standard_descriptors()
    receiver = signals.SignalReceiver()
    receiver.install()
    try:
        # Takes most of the start, during which signals may arrive.
        from chicoryweir_daemon import commandline

        commandline.app(obj=receiver)
    except Exception as error:
        logs.record_failure(error, "")
        raise SystemExit(1) from None
    finally:
        receiver.ignore()
        logs.flush_remaining(FLUSH_TIMEOUT_S)


if __name__ == "__main__":
    main()
