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
MAX_PENDING_POLLS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Intervals of the state machine, in seconds.

    Attributes:
        poll_s: Time between two reads of the head row.
        gather_s: Time a new process collects offers while the store is down.
        retry_s: Time after which an unanswered or failed operation is repeated.
    """

    poll_s: float = 1.0
    gather_s: float = 2.0
    retry_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class VersionBook:
    """What one process knows of the settings versions.

    Attributes:
        seed: Spreads processes over their peers when they ask for copies.
        timing: Intervals.
        started_at: Start of the process, monotonic seconds.
        held: Version in force, or None while none is known.
        wanted: Highest version seen, or None.
        offers: Version that each peer told last.
        fetch: Copy being fetched, or None.
        fetch_at: Time before which no other copy is asked for.
        attempt: Fetches of `wanted` that failed.
        poll_at: Time of the next read of the head row.
        store_answered: Whether the head row was ever read.
        store_up: Whether the last answer of the store was a success.
        row_version: Highest version of the head row read.
        row_head_version: Settings version that row named.
    """

    seed: int
    timing: Timing
    started_at: float
    held: copies.Copy | None = None
    wanted: heads.Head | None = None
    offers: collections.abc.Mapping[str, heads.Head] = dataclasses.field(
        default_factory=dict
    )
    fetch: sources.Fetch | None = None
    fetch_at: float = 0.0
    attempt: int = 0
    poll_at: float = 0.0
    store_answered: bool = False
    store_up: bool = True
    row_version: int = 0
    row_head_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """The book after an event, and what the process has to do."""

    book: VersionBook
    commands: tuple[messages.Command, ...] = ()


def make_book(instance: str, now: float, timing: Timing | None = None) -> VersionBook:
    """Creates the book of a process that starts at `now`."""
    return VersionBook(
        seed=xxhash.xxh3_64_intdigest(instance.encode()),
        timing=timing or Timing(),
        started_at=now,
        fetch_at=now,
        poll_at=now,
    )


def find_wake_time(book: VersionBook) -> float:
    """Returns the time by which the next `Ticked` is due."""
    times = [book.poll_at]
    if _is_behind(book):
        times.append(book.fetch_at)
    if book.held is None:
        times.append(max(book.fetch_at, book.started_at + book.timing.gather_s))
    return min(times)


def advance(book: VersionBook, event: messages.Event, now: float) -> Step:
    """Computes the next state and the commands after one event at `now`."""
    step = _take_event(book, event, now)
    polled = _poll(step.book, now)
    fetched = _fetch_wanted(polled.book, now)
    return Step(fetched.book, step.commands + polled.commands + fetched.commands)


def _take_event(book: VersionBook, event: messages.Event, now: float) -> Step:
    match event:
        case messages.Ticked():
            return Step(book)
        case messages.HeadRead(result):
            return _take_head_row(book, result, now)
        case messages.ObjectRead(name, result):
            return _take_object(book, name, result, now)
        case messages.HeadOffered(peer, head):
            return _take_offer(book, peer, head, now)
        case messages.CopyAsked(peer):
            if book.held is None:
                return Step(book)
            return Step(book, (messages.SendCopy(peer, book.held),))
        case messages.CopySent(peer, copy):
            return _take_sent_copy(book, peer, copy, now)
        case messages.ChangeAccepted(copy):
            seen = _see(book, copy.head, STORE, now)
            taken = _take_copy(seen.book, copy, STORE)
            return Step(taken.book, seen.commands + taken.commands)
        case messages.PeerLost(peer):
            offers = {name: head for name, head in book.offers.items() if name != peer}
            return Step(dataclasses.replace(book, offers=offers))
        case _:
            typing.assert_never(event)


def _poll(book: VersionBook, now: float) -> Step:
    if now < book.poll_at:
        return Step(book)
    poll_at = now + MAX_PENDING_POLLS * book.timing.poll_s
    return Step(
        dataclasses.replace(book, poll_at=poll_at),
        (messages.ReadHead(store.Read((heads.HEAD_KEY,))),),
    )


def _fetch_wanted(book: VersionBook, now: float) -> Step:
    """Asks for a copy of the wanted version when one is due."""
    wanted = book.wanted
    if wanted is None or not _is_behind(book):
        return Step(book)
    if now < book.fetch_at or not _may_adopt(book, now):
        return Step(book)
    source = _choose_source(book, wanted)
    book = dataclasses.replace(
        book,
        fetch=sources.Fetch(wanted, source),
        fetch_at=now + book.timing.retry_s,
        attempt=book.attempt + 1,
    )
    if source.kind is sources.SourceKind.PEER:
        return Step(book, (messages.AskCopy(source.name),))
    return Step(book, (messages.FetchObject(store.GetObject(source.name)),))


def _is_behind(book: VersionBook) -> bool:
    if book.wanted is None:
        return False
    return book.held is None or book.wanted.version > book.held.head.version


def _may_adopt(book: VersionBook, now: float) -> bool:
    if book.held is not None or book.store_answered:
        return True
    return now >= book.started_at + book.timing.gather_s


def _choose_source(book: VersionBook, wanted: heads.Head) -> sources.Source:
    holders = [
        peer
        for peer, head in sorted(book.offers.items())
        if head.version >= wanted.version
    ]
    held = book.held.head if book.held is not None else None
    return sources.choose_source(
        wanted, held, holders, book.store_up, book.attempt, book.seed
    )


def _take_head_row(book: VersionBook, result: store.Result, now: float) -> Step:
    poll_at = now + book.timing.poll_s
    if not isinstance(result, store.Rows):
        return Step(dataclasses.replace(book, poll_at=poll_at, store_up=False))
    book = dataclasses.replace(
        book, poll_at=poll_at, store_up=True, store_answered=True
    )
    row = result.find(heads.HEAD_KEY)
    if row is None:
        return Step(book)
    head = heads.parse_head(row.value)
    if head is None:
        return Step(book, (_report(book, messages.Fault.DAMAGED, 0, STORE),))
    if row.version > book.row_version:
        if head.version < book.row_head_version:
            fault = messages.Fault.HEAD_MOVED_BACK
            return Step(book, (_report(book, fault, head.version, STORE),))
        book = dataclasses.replace(
            book, row_version=row.version, row_head_version=head.version
        )
    return _see(book, head, STORE, now)


def _take_offer(
    book: VersionBook, peer: str, head: heads.Head | None, now: float
) -> Step:
    commands: tuple[messages.Command, ...] = ()
    held = book.held
    if held is not None and (head is None or head.version < held.head.version):
        commands = (messages.AnnounceHead(held.head, peer),)
    if head is None:
        return Step(book, commands)
    offers = {**book.offers, peer: head}
    seen = _see(dataclasses.replace(book, offers=offers), head, peer, now)
    return Step(seen.book, commands + seen.commands)


def _see(book: VersionBook, head: heads.Head, peer: str, now: float) -> Step:
    """Notes that a version exists."""
    wanted = book.wanted
    if wanted is None or head.version > wanted.version:
        return Step(dataclasses.replace(book, wanted=head, attempt=0, fetch_at=now))
    if head.version == wanted.version and head.change_id != wanted.change_id:
        return Step(book, (_report(book, messages.Fault.FORKED, head.version, peer),))
    return Step(book)


def _take_object(
    book: VersionBook, name: str, result: store.Result, now: float
) -> Step:
    fetch = book.fetch
    if fetch is None or fetch.source.name != name:
        return Step(book)
    book = dataclasses.replace(book, fetch=None)
    if not isinstance(result, store.ObjectFetched):
        return Step(dataclasses.replace(book, store_up=False))
    if fetch.source.kind is sources.SourceKind.DELTA:
        book = dataclasses.replace(book, fetch_at=min(book.fetch_at, now))
        loaded = copies.load_patched(book.held, fetch.head, result.data)
        return _adopt(book, loaded, STORE) if loaded is not None else Step(book)
    if result.data is None:
        return Step(book)
    return _take_copy(book, copies.Copy(fetch.head, result.data), STORE)


def _take_sent_copy(
    book: VersionBook, peer: str, copy: copies.Copy, now: float
) -> Step:
    seen = _see(book, copy.head, peer, now)
    if seen.commands or not _may_adopt(seen.book, now):
        return seen
    return _take_copy(seen.book, copy, peer)


def _take_copy(book: VersionBook, copy: copies.Copy, source: str) -> Step:
    """Adopts a copy above the version in force, if it is whole."""
    held = book.held
    if held is not None and copy.head.version <= held.head.version:
        return Step(book)
    loaded = copies.load_copy(copy)
    if loaded is None:
        fault = messages.Fault.DAMAGED
        return Step(book, (_report(book, fault, copy.head.version, source),))
    return _adopt(book, loaded, source)


def _adopt(book: VersionBook, loaded: copies.Loaded, source: str) -> Step:
    held = book.held
    head = loaded.copy.head
    if held is not None and head.version <= held.head.version:
        fault = messages.Fault.WENT_BACK
        return Step(book, (_report(book, fault, head.version, source),))
    return Step(
        dataclasses.replace(book, held=loaded.copy, fetch=None),
        (messages.Adopt(head, loaded.tree), messages.AnnounceHead(head)),
    )


def _report(
    book: VersionBook, fault: messages.Fault, found: int, peer: str
) -> messages.Violation:
    seen = book.wanted.version if book.wanted is not None else 0
    return messages.Violation(fault, seen, found, peer)
