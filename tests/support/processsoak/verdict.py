"""Judges the ends of processes and the answers that clients got."""

import collections
import dataclasses
import signal

from processsoak import processes
from processsoak import settingsfiles

# Time until a process is ready once nothing disturbs it, in seconds.
READY_S = 5.0
# Time after the last byte of a request within which a planned stop may close its
# connection, in seconds.
LOSS_SLACK_S = 0.2
# Deadline that the clients' requests state, in seconds.
DEADLINE_S = 3.0
# Time after a disturbance for which requests may be cut, in seconds.
CONTACT_S = 3.0
PIPE_BYTES = 65_536
STOPPED_EVENT = "daemon_stopped"


@dataclasses.dataclass(frozen=True)
class Disturbance:
    """A time in which requests to a host may be cut; monotonic, in seconds."""

    host: str
    begins_at: float
    ends_at: float


@dataclasses.dataclass
class Verdict:
    """What a run showed.

    Attributes:
        seed: Seed of the run.
        faults: One line each.
        ends: Number of ended processes.
        early_ends: Number of those that a signal ended before their first line ran.
        calls: Number of requests.
        served: Number of whole answers with status 200.
        events: Number of logged events, by name.
        slowest_stop_s: Longest time from an end signal to the end.
        slowest_ready_s: Longest time until a process was ready.
    """

    seed: int
    faults: list[str] = dataclasses.field(default_factory=list)
    ends: int = 0
    early_ends: int = 0
    calls: int = 0
    served: int = 0
    events: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    slowest_stop_s: float = 0.0
    slowest_ready_s: float = 0.0

    def __str__(self):
        """Returns the counts in one line and each fault in one more."""
        summary = (
            f"seed {self.seed}: {len(self.faults)} faults, {self.ends} ends "
            f"({self.early_ends} by a signal before the first line of start.py), "
            f"{self.served} of {self.calls} requests served, slowest stop "
            f"{self.slowest_stop_s:.2f} s, slowest start {self.slowest_ready_s:.2f} s"
        )
        return "\n  ".join([summary, *self.faults])

    def add_process(self, process):
        """Judges the end of a process."""
        self.ends += 1
        self.events.update(line.get("event", "") for line in process.read_lines())
        name = process.log_path.name
        if ended_early(process):
            self.early_ends += 1
            return
        end = process.first_end_signal
        if end is None:
            self.faults.append(
                f"{name}: ended by itself with {process.exit_code} after "
                f"{process.ended_at - process.started_at:.3f} s"
            )
            return
        if was_killed(process):
            return
        if process.is_overdue:
            self.faults.append(f"{name}: did not end after {name_signal(end.number)}")
            return
        stop_s = process.ended_at - end.at
        self.slowest_stop_s = max(self.slowest_stop_s, stop_s)
        if stop_s > allow_stop_s(process):
            self.faults.append(f"{name}: took {stop_s:.2f} s to stop")
        if process.exit_code != 0:
            self.faults.append(
                f"{name}: ended with {process.exit_code} after "
                f"{name_signal(end.number)} {end.at - process.started_at:.3f} s "
                "after its start"
            )
        if could_write_line(process) and not has_cause_line(process):
            self.faults.append(f"{name}: no line tells the cause of its end")

    def add_calls(self, calls, all_processes, disturbances):
        """Judges the answers of clients."""
        end_signals = [
            (process.host, sent.at)
            for process in all_processes
            for sent in process.sent
            if sent.number in processes.END_SIGNALS
        ]
        for call in calls:
            self.calls += 1
            self.served += call.status == 200 and call.is_whole
            where = f"{call.host}: {call.path}: status {call.status}"
            if call.status == 200 and call.is_complete and not call.is_whole:
                self.faults.append(f"{where} with a wrong body")
            spans_stop = any(
                host == call.host and call.sent_at <= at <= call.ended_at
                for host, at in end_signals
            )
            took_s = call.ended_at - call.sent_at
            may_be_cut = took_s <= LOSS_SLACK_S and not spans_stop
            # An entry breaks off a stream whose deadline has passed.
            may_be_cut |= call.status == 200 and took_s >= DEADLINE_S
            if call.is_complete or may_be_cut or _is_excused(call, disturbances):
                continue
            self.faults.append(
                f"{where}, cut after {took_s:.2f} s at {call.ended_at:.2f}, "
                f"a stop in between: {spans_stop}"
            )


def name_signal(number):
    """Returns the name of a signal."""
    return signal.Signals(number).name


def ended_early(process):
    """Returns whether a signal ended the process before its first line ran."""
    early = {sent.number for sent in process.sent if sent.is_early}
    code = process.exit_code
    if code in {-signal.SIGHUP, -signal.SIGTERM, -signal.SIGINT}:
        return -code in early
    # The interpreter's own handler raises KeyboardInterrupt.
    return code == 1 and signal.SIGINT in early and was_interrupted(process)


def was_interrupted(process):
    """Returns whether the interpreter reported an interrupt, if it could."""
    if process.output is processes.Output.ALL_CLOSED:
        return True
    return "KeyboardInterrupt" in process.log_path.read_text(errors="replace")


def was_killed(process):
    """Returns whether the schedule's SIGKILL ended the process."""
    killed = any(sent.number == signal.SIGKILL for sent in process.sent)
    return killed and process.exit_code == -signal.SIGKILL and not process.is_overdue


def allow_stop_s(process):
    """Returns the time that a stop may take, in seconds: the grace and freezes."""
    end = process.first_end_signal
    frozen_s = sum(
        ends_at - max(begins_at, end.at)
        for begins_at, ends_at in process.freezes
        if ends_at > end.at
    )
    return settingsfiles.GRACE_S + frozen_s


def could_write_line(process):
    """Returns whether the output of a process could take all of its lines."""
    match process.output:
        case processes.Output.FILE:
            return True
        case processes.Output.UNREAD_PIPE:
            return process.log_path.stat().st_size < PIPE_BYTES // 2
        case _:
            return False


def has_cause_line(process):
    """Returns whether a line of the log tells why the process ended."""
    return any(
        line.get("event") == STOPPED_EVENT and line.get("detail")
        for line in process.read_lines()
    )


def list_disturbances(process):
    """Returns when requests to a process may be cut through what was done to it."""
    host = process.host
    for begins_at, ends_at in process.freezes:
        yield Disturbance(host, begins_at, ends_at + CONTACT_S)
    for sent in process.sent:
        if sent.number == signal.SIGKILL:
            yield Disturbance(host, sent.at, sent.at + LOSS_SLACK_S)
    if process.max_descriptors:
        # Connections that the process can't accept are reset at its end.
        yield Disturbance(host, process.started_at, process.ended_at + LOSS_SLACK_S)


def _is_excused(call, disturbances):
    return any(
        d.host == call.host
        and d.begins_at <= call.ended_at
        and call.opened_at <= d.ends_at
        for d in disturbances
    )
