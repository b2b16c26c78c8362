"""State machine that keeps the settings version of one process up to date.

A process polls the head row and receives announcements of versions from its peers. It
adopts a version only if it is newer than the one in force. A process that starts while
the store is down waits for the announcements of its peers and adopts the highest
version.
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
# Number of poll periods after which an unanswered read of the head row is repeated.
POLL_TIMEOUT_PERIODS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Intervals of the state machine, in seconds.

    Attributes:
        poll_s: Interval between reads of the head row.
        peer_wait_s: Time for which a new process collects announcements before it
            adopts a version, while the store is down.
        fetch_retry_s: Time after which an unanswered or failed fetch is retried.
    """

    poll_s: float = 1.0
    peer_wait_s: float = 2.0
    fetch_retry_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class VersionState:
    """The settings versions known to one process.

    Attributes:
        seed: Hash by which processes request copies from different peers.
        timing: Intervals.
        started_at: Monotonic start time of the process, in seconds.
        current: Copy in force, or None if no version was adopted yet.
        latest: Highest version seen, or None.
        peer_heads: Last head announced by each peer.
        fetch: Fetch in progress, or None.
        next_fetch_at: Earliest time of the next fetch.
        fetch_attempts: Number of attempts to fetch `latest`.
        next_poll_at: Time of the next read of the head row.
        store_answered: Whether a read of the head row ever succeeded.
        store_available: Whether the store's last reply was a success.
        row_version: Highest row version read of the head row.
        row_head_version: Settings version in that row.
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
    """The state after an event, and the commands to execute."""

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
    """Returns the time at which the next `Ticked` is due."""
    times = [state.next_poll_at]
    if _is_behind(state):
        times.append(state.next_fetch_at)
    if state.current is None:
        times.append(
            max(state.next_fetch_at, state.started_at + state.timing.peer_wait_s)
        )
    return min(times)


def advance(state: VersionState, event: messages.Event, now: float) -> Step:
    """Computes the state and the commands that follow an event at `now`."""
    step = _handle_event(state, event, now)
    polled = _poll(step.state, now)
    fetched = _fetch_latest(polled.state, now)
    return Step(fetched.state, step.commands + polled.commands + fetched.commands)


def _handle_event(state: VersionState, event: messages.Event, now: float) -> Step:
    match event:
        case messages.Ticked():
            return Step(state)
        case messages.HeadRead(result):
            return _handle_head_row(state, result, now)
        case messages.ObjectRead(name, result):
            return _handle_object(state, name, result, now)
        case messages.HeadAnnounced(peer, head):
            return _handle_announced_head(state, peer, head, now)
        case messages.CopyRequested(peer):
            if state.current is None:
                return Step(state)
            return Step(state, (messages.SendCopy(peer, state.current),))
        case messages.CopyReceived(peer, copy):
            return _handle_received_copy(state, peer, copy, now)
        case messages.ChangeAccepted(copy):
            recorded = _record_head(state, copy.head, STORE, now)
            adopted = _adopt_copy(recorded.state, copy, STORE)
            return Step(adopted.state, recorded.commands + adopted.commands)
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


def _fetch_latest(state: VersionState, now: float) -> Step:
    """Requests a copy of the latest version if a fetch is due."""
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
    peers = [
        peer
        for peer, head in sorted(state.peer_heads.items())
        if head.version >= latest.version
    ]
    current = state.current.head if state.current is not None else None
    return sources.choose_source(
        latest,
        current,
        peers,
        state.store_available,
        state.fetch_attempts,
        state.seed,
    )


def _handle_head_row(state: VersionState, result: store.Result, now: float) -> Step:
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
        return Step(state, (_make_violation(state, messages.Fault.DAMAGED, 0, STORE),))
    if row.version > state.row_version:
        if head.version < state.row_head_version:
            fault = messages.Fault.HEAD_MOVED_BACK
            return Step(state, (_make_violation(state, fault, head.version, STORE),))
        state = dataclasses.replace(
            state, row_version=row.version, row_head_version=head.version
        )
    return _record_head(state, head, STORE, now)


def _handle_announced_head(
    state: VersionState, peer: str, head: heads.Head | None, now: float
) -> Step:
    commands: tuple[messages.Command, ...] = ()
    current = state.current
    if current is not None and (head is None or head.version < current.head.version):
        commands = (messages.AnnounceHead(current.head, peer),)
    if head is None:
        return Step(state, commands)
    peer_heads = {**state.peer_heads, peer: head}
    recorded = _record_head(
        dataclasses.replace(state, peer_heads=peer_heads), head, peer, now
    )
    return Step(recorded.state, commands + recorded.commands)


def _record_head(state: VersionState, head: heads.Head, peer: str, now: float) -> Step:
    """Records a version as latest if it is the highest; reports a fork."""
    latest = state.latest
    if latest is None or head.version > latest.version:
        return Step(
            dataclasses.replace(state, latest=head, fetch_attempts=0, next_fetch_at=now)
        )
    if head.version == latest.version and head.change_id != latest.change_id:
        return Step(
            state, (_make_violation(state, messages.Fault.FORKED, head.version, peer),)
        )
    return Step(state)


def _handle_object(
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
    return _adopt_copy(state, copies.Copy(fetch.head, result.data), STORE)


def _handle_received_copy(
    state: VersionState, peer: str, copy: copies.Copy, now: float
) -> Step:
    recorded = _record_head(state, copy.head, peer, now)
    if recorded.commands or not _may_adopt(recorded.state, now):
        return recorded
    return _adopt_copy(recorded.state, copy, peer)


def _adopt_copy(state: VersionState, copy: copies.Copy, source: str) -> Step:
    """Adopts a copy if it is intact and newer than the version in force."""
    current = state.current
    if current is not None and copy.head.version <= current.head.version:
        return Step(state)
    loaded = copies.load_copy(copy)
    if loaded is None:
        fault = messages.Fault.DAMAGED
        return Step(state, (_make_violation(state, fault, copy.head.version, source),))
    return _adopt(state, loaded, source)


def _adopt(state: VersionState, loaded: copies.LoadedCopy, source: str) -> Step:
    current = state.current
    head = loaded.copy.head
    if current is not None and head.version <= current.head.version:
        fault = messages.Fault.WENT_BACK
        return Step(state, (_make_violation(state, fault, head.version, source),))
    return Step(
        dataclasses.replace(state, current=loaded.copy, fetch=None),
        (messages.Adopt(head, loaded.tree), messages.AnnounceHead(head)),
    )


def _make_violation(
    state: VersionState, fault: messages.Fault, found: int, peer: str
) -> messages.Violation:
    highest_seen = state.latest.version if state.latest is not None else 0
    return messages.Violation(fault, highest_seen, found, peer)
