"""The settings version in force on one process, as a state machine.

A process polls the head row and hears of versions from its peers. It takes a
version only when it is above the one in force. One that starts while the store
is down waits for the offers of its peers and takes the highest of them.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import xxhash

from chicoryweir_policy import store
from chicoryweir_policy.settings import copies
from chicoryweir_policy.settings import heads
from chicoryweir_policy.settings import messages
from chicoryweir_policy.settings import sources

STORE = "store"
POLL_TIMEOUT_PERIODS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Intervals of the state machine, in seconds.

    Attributes:
        poll_s: Time between two reads of the head row.
        peer_wait_s: Time a new process collects offers while the store is down.
        fetch_retry_s: Time after which an unanswered or failed operation is repeated.
    """

    poll_s: float = 1.0
    peer_wait_s: float = 2.0
    fetch_retry_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class VersionState:
    """What one process knows of the settings versions.

    Attributes:
        seed: Spreads processes over their peers when they ask for copies.
        timing: Intervals.
        started_at: Start of the process, monotonic seconds.
        held: Version in force, or None while none is known.
        latest: Highest version seen, or None.
        offers: Version that each peer told last.
        fetch: Copy being fetched, or None.
        fetch_at: Time before which no other copy is asked for.
        attempt: Fetches of `latest` that failed.
        poll_at: Time of the next read of the head row.
        store_answered: Whether the head row was ever read.
        store_up: Whether the last answer of the store was a success.
        row_version: Highest version of the head row read.
        row_head_version: Settings version that row named.
    """

    seed: int
    timing: Timing
    started_at: float
    current: copies.Copy | None = None
    latest: heads.Head | None = None
    peer_heads: collections.abc.Mapping[str, heads.Head] = dataclasses.field(
        default_factory=dict
    )
    fetch: sources.Fetch | None = None
    next_fetch_at: float = 0.0
    fetch_attempts: int = 0
    next_poll_at: float = 0.0
    store_answered: bool = False
    store_available: bool = True
    row_version: int = 0
    row_head_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """The state after an event, and what the process has to do."""

    state: VersionState
    commands: tuple[messages.Command, ...] = ()


def make_version_state(
    instance: str, now: float, timing: Timing | None = None
) -> VersionState:
    """Creates the state of a process that starts at `now`."""
    return VersionState(
        seed=xxhash.xxh3_64_intdigest(instance.encode()),
        timing=timing or Timing(),
        started_at=now,
        next_fetch_at=now,
        next_poll_at=now,
    )


def find_wake_time(state: VersionState) -> float:
    """Returns the time by which the next `Ticked` is due."""
    times = [state.next_poll_at]
    if _is_behind(state):
        times.append(state.next_fetch_at)
    if state.current is None:
        times.append(
            max(state.next_fetch_at, state.started_at + state.timing.peer_wait_s)
        )
    return min(times)


def advance(state: VersionState, event: messages.Event, now: float) -> Step:
    """Computes the next state and the commands after one event at `now`."""
    step = _take_event(state, event, now)
    polled = _poll(step.state, now)
    fetched = _fetch_wanted(polled.state, now)
    return Step(fetched.state, step.commands + polled.commands + fetched.commands)


def _take_event(state: VersionState, event: messages.Event, now: float) -> Step:
    match event:
        case messages.Ticked():
            return Step(state)
        case messages.HeadRead(result):
            return _take_head_row(state, result, now)
        case messages.ObjectRead(name, result):
            return _take_object(state, name, result, now)
        case messages.HeadAnnounced(peer, head):
            return _take_offer(state, peer, head, now)
        case messages.CopyRequested(peer):
            if state.current is None:
                return Step(state)
            return Step(state, (messages.SendCopy(peer, state.current),))
        case messages.CopyReceived(peer, copy):
            return _take_sent_copy(state, peer, copy, now)
        case messages.ChangeAccepted(copy):
            seen = _see(state, copy.head, STORE, now)
            taken = _take_copy(seen.state, copy, STORE)
            return Step(taken.state, seen.commands + taken.commands)
        case messages.PeerLost(peer):
            peer_heads = {
                name: head for name, head in state.peer_heads.items() if name != peer
            }
            return Step(dataclasses.replace(state, peer_heads=peer_heads))
        case _:
            typing.assert_never(event)


def _poll(state: VersionState, now: float) -> Step:
    if now < state.next_poll_at:
        return Step(state)
    next_poll_at = now + POLL_TIMEOUT_PERIODS * state.timing.poll_s
    return Step(
        dataclasses.replace(state, next_poll_at=next_poll_at),
        (messages.ReadHead(store.Read((heads.HEAD_KEY,))),),
    )


def _fetch_wanted(state: VersionState, now: float) -> Step:
    """Asks for a copy of the latest version when one is due."""
    latest = state.latest
    if latest is None or not _is_behind(state):
        return Step(state)
    if now < state.next_fetch_at or not _may_adopt(state, now):
        return Step(state)
    source = _choose_source(state, latest)
    state = dataclasses.replace(
        state,
        fetch=sources.Fetch(latest, source),
        next_fetch_at=now + state.timing.fetch_retry_s,
        fetch_attempts=state.fetch_attempts + 1,
    )
    if source.kind is sources.SourceKind.PEER:
        return Step(state, (messages.RequestCopy(source.name),))
    return Step(state, (messages.FetchObject(store.GetObject(source.name)),))


def _is_behind(state: VersionState) -> bool:
    if state.latest is None:
        return False
    return state.current is None or state.latest.version > state.current.head.version


def _may_adopt(state: VersionState, now: float) -> bool:
    if state.current is not None or state.store_answered:
        return True
    return now >= state.started_at + state.timing.peer_wait_s


def _choose_source(state: VersionState, latest: heads.Head) -> sources.Source:
    holders = [
        peer
        for peer, head in sorted(state.peer_heads.items())
        if head.version >= latest.version
    ]
    current = state.current.head if state.current is not None else None
    return sources.choose_source(
        latest,
        current,
        holders,
        state.store_available,
        state.fetch_attempts,
        state.seed,
    )


def _take_head_row(state: VersionState, result: store.Result, now: float) -> Step:
    next_poll_at = now + state.timing.poll_s
    if not isinstance(result, store.Rows):
        return Step(
            dataclasses.replace(state, next_poll_at=next_poll_at, store_available=False)
        )
    state = dataclasses.replace(
        state, next_poll_at=next_poll_at, store_available=True, store_answered=True
    )
    row = result.find(heads.HEAD_KEY)
    if row is None:
        return Step(state)
    head = heads.parse_head(row.value)
    if head is None:
        return Step(state, (_report(state, messages.Fault.DAMAGED, 0, STORE),))
    if row.version > state.row_version:
        if head.version < state.row_head_version:
            fault = messages.Fault.HEAD_MOVED_BACK
            return Step(state, (_report(state, fault, head.version, STORE),))
        state = dataclasses.replace(
            state, row_version=row.version, row_head_version=head.version
        )
    return _see(state, head, STORE, now)


def _take_offer(
    state: VersionState, peer: str, head: heads.Head | None, now: float
) -> Step:
    commands: tuple[messages.Command, ...] = ()
    current = state.current
    if current is not None and (head is None or head.version < current.head.version):
        commands = (messages.AnnounceHead(current.head, peer),)
    if head is None:
        return Step(state, commands)
    peer_heads = {**state.peer_heads, peer: head}
    seen = _see(dataclasses.replace(state, peer_heads=peer_heads), head, peer, now)
    return Step(seen.state, commands + seen.commands)


def _see(state: VersionState, head: heads.Head, peer: str, now: float) -> Step:
    """Notes that a version exists."""
    latest = state.latest
    if latest is None or head.version > latest.version:
        return Step(
            dataclasses.replace(state, latest=head, fetch_attempts=0, next_fetch_at=now)
        )
    if head.version == latest.version and head.change_id != latest.change_id:
        return Step(state, (_report(state, messages.Fault.FORKED, head.version, peer),))
    return Step(state)


def _take_object(
    state: VersionState, name: str, result: store.Result, now: float
) -> Step:
    fetch = state.fetch
    if fetch is None or fetch.source.name != name:
        return Step(state)
    state = dataclasses.replace(state, fetch=None)
    if not isinstance(result, store.ObjectFetched):
        return Step(dataclasses.replace(state, store_available=False))
    if fetch.source.kind is sources.SourceKind.DELTA:
        state = dataclasses.replace(state, next_fetch_at=min(state.next_fetch_at, now))
        loaded = copies.load_from_delta(state.current, fetch.head, result.data)
        return _adopt(state, loaded, STORE) if loaded is not None else Step(state)
    if result.data is None:
        return Step(state)
    return _take_copy(state, copies.Copy(fetch.head, result.data), STORE)


def _take_sent_copy(
    state: VersionState, peer: str, copy: copies.Copy, now: float
) -> Step:
    seen = _see(state, copy.head, peer, now)
    if seen.commands or not _may_adopt(seen.state, now):
        return seen
    return _take_copy(seen.state, copy, peer)


def _take_copy(state: VersionState, copy: copies.Copy, source: str) -> Step:
    """Adopts a copy above the version in force, if it is whole."""
    current = state.current
    if current is not None and copy.head.version <= current.head.version:
        return Step(state)
    loaded = copies.load_copy(copy)
    if loaded is None:
        fault = messages.Fault.DAMAGED
        return Step(state, (_report(state, fault, copy.head.version, source),))
    return _adopt(state, loaded, source)


def _adopt(state: VersionState, loaded: copies.LoadedCopy, source: str) -> Step:
    current = state.current
    head = loaded.copy.head
    if current is not None and head.version <= current.head.version:
        fault = messages.Fault.WENT_BACK
        return Step(state, (_report(state, fault, head.version, source),))
    return Step(
        dataclasses.replace(state, current=loaded.copy, fetch=None),
        (messages.Adopt(head, loaded.tree), messages.AnnounceHead(head)),
    )


def _report(
    state: VersionState, fault: messages.Fault, found: int, peer: str
) -> messages.Violation:
    seen = state.latest.version if state.latest is not None else 0
    return messages.Violation(fault, seen, found, peer)
