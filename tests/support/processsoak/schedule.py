"""Draws from a seed what happens to each machine of a run."""

import dataclasses
import random
import signal

from processsoak import processes
from processsoak import settingsfiles

# A process installs its handlers and listeners within about this time of its start.
START_S = 1.5
RUNNING_S = 4.0
STORM_INTERVAL_S = 0.0005
LIVES = (2, 3)


@dataclasses.dataclass(frozen=True)
class Signals:
    """Equal signals in series; `at_s` counts from the start of the process."""

    at_s: float
    number: int
    count: int = 1
    interval_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Freeze:
    """The process is stopped for a time."""

    at_s: float
    for_s: float


@dataclasses.dataclass(frozen=True)
class SettingsChange:
    """The settings file is replaced; one that isn't whole is whole 0.3 s later."""

    at_s: float
    content: settingsfiles.Content
    kept_share: float
    with_signal: bool


@dataclasses.dataclass(frozen=True)
class TakenPort:
    """Somebody else has a port at the start, until `for_s` after it."""

    name: str
    is_udp: bool
    for_s: float


@dataclasses.dataclass(frozen=True)
class End:
    """How a process is ended.

    Attributes:
        signals: Signal that ends it.
        hangups: Number of SIGHUPs during the stop.
        kill_after_s: Time until a SIGKILL that follows, or None.
        starts_beside: Whether the next process starts while this one stops.
    """

    signals: Signals
    hangups: int = 0
    kill_after_s: float | None = None
    starts_beside: bool = False


@dataclasses.dataclass(frozen=True)
class Life:
    """What happens to one process; the last one of a machine has no end."""

    content: settingsfiles.Content = settingsfiles.Content.WHOLE
    kept_share: float = 1.0
    repaired_s: float = 0.0
    port: TakenPort | None = None
    output: processes.Output = processes.Output.FILE
    output_closes_s: float = 0.0
    max_descriptors: int | None = None
    signals: tuple[Signals, ...] = ()
    freezes: tuple[Freeze, ...] = ()
    changes: tuple[SettingsChange, ...] = ()
    end: End | None = None


@dataclasses.dataclass(frozen=True)
class Outage:
    """The store is down; `at_s` counts from the start of the run."""

    at_s: float
    for_s: float


@dataclasses.dataclass(frozen=True)
class Schedule:
    """What happens in a run: lives by machine, and outages of the store.

    Attributes:
        lives: Processes of each machine, one after the other, by name of the machine.
        outages: Outages of the store.
        stagger_s: Time between the first starts on two machines, in seconds.
    """

    lives: dict[str, tuple[Life, ...]]
    outages: tuple[Outage, ...] = ()
    stagger_s: float = 0.0


def draw_schedule(seed, entries, agents):
    """Draws the schedule of a run with machines `entry-1`, `agent-1` and so on."""
    names = [f"entry-{n + 1}" for n in range(entries)]
    names += [f"agent-{n + 1}" for n in range(agents)]
    lives = {name: _draw_lives(random.Random(f"{seed} {name}")) for name in names}
    rng = random.Random(f"{seed} store")
    outages = [
        Outage(rng.uniform(0.0, 6.0), rng.uniform(0.3, 3.0))
        for _ in range(rng.randint(0, 2))
    ]
    return Schedule(lives, tuple(outages))


def _draw_lives(rng):
    count = rng.randint(*LIVES)
    return tuple(_draw_life(rng, is_last=n == count - 1) for n in range(count))


def _draw_moment(rng):
    return rng.choice((rng.uniform(0.0, START_S), rng.uniform(START_S, RUNNING_S)))


def _draw_life(rng, is_last):
    content = rng.choice((*settingsfiles.Content, *[settingsfiles.Content.WHOLE] * 5))
    is_whole = content is settingsfiles.Content.WHOLE
    output = rng.choice((*processes.Output, *[processes.Output.FILE] * 4))
    is_limited = not is_last and rng.random() < 0.15
    return Life(
        content=content,
        kept_share=rng.random(),
        repaired_s=0.0 if is_whole else rng.uniform(0.0, 2.5),
        port=_draw_port(rng) if rng.random() < 0.3 else None,
        output=output,
        output_closes_s=_draw_moment(rng),
        max_descriptors=rng.randint(16, 48) if is_limited else None,
        signals=tuple(_draw_hangups(rng) for _ in range(rng.randint(0, 3))),
        freezes=tuple(
            Freeze(_draw_moment(rng), rng.uniform(0.05, 1.0))
            for _ in range(rng.choice((0, 0, 1, 2)))
        ),
        changes=tuple(_draw_change(rng) for _ in range(rng.choice((0, 0, 1, 2)))),
        end=None if is_last else _draw_end(rng),
    )


def _draw_port(rng):
    name = rng.choice(("peer", "peer", "metrics", "front", "ready", "directory"))
    return TakenPort(name, name == "peer" and rng.random() < 0.5, rng.uniform(0, 3.0))


def _draw_hangups(rng):
    at_s = _draw_moment(rng)
    if rng.random() < 0.5:
        return Signals(at_s, signal.SIGHUP)
    return Signals(at_s, signal.SIGHUP, rng.randint(2, 200), STORM_INTERVAL_S)


def _draw_change(rng):
    return SettingsChange(
        _draw_moment(rng),
        rng.choice((*settingsfiles.Content, settingsfiles.Content.WHOLE)),
        rng.random(),
        rng.random() < 0.5,
    )


def _draw_end(rng):
    term, interrupt, kill = processes.END_SIGNALS
    number = rng.choice((term, term, term, term, interrupt, interrupt, kill))
    count = rng.choice((1, 1, 1, 2, 30))
    return End(
        Signals(_draw_moment(rng), number, count, rng.choice((0.0005, 0.1))),
        hangups=rng.choice((0, 0, 1, 400)),
        kill_after_s=rng.uniform(0.0, 4.0) if rng.random() < 0.15 else None,
        starts_beside=rng.random() < 0.4,
    )
