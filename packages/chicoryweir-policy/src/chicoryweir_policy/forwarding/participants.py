"""Knows which entries share a limit, and whether this one takes part.

The shares of several entries stay within a limit if each that takes part counts all
others that do. An entry therefore counts those that it heard or that others named in
the last `KEPT_S`. One that starts takes part only when the others have heard it, and
one that is cut off from half of the entries stops before those count it no longer.
After the whole fleet has started again nobody has to be waited for: entries that the
store lists count each other, and those that ran on, if any, still count all that ran.
Entries are told apart by host: other entries' announcements name hosts only.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import math

# Time for which an entry counts after it was last heard or named.
KEPT_S = 30.0
# Time after its last announcement for which an entry counts towards the majority that
# this one must hear. It is shorter than `KEPT_S` by more than announcements are late or
# missing, so that a minority stops before the majority uses its shares.
LEASE_S = 20.0
# Time from hearing a majority until an entry takes part. Its own announcements, which
# it sends from the start, arrive at the others within it: they are up to 1 s old, and
# the next ones follow after 0.5 s under load.
JOIN_S = 3.0
# The same in an entry that knows all hosts from the store, if all entries that it has
# heard started at about the same time. It covers the first announcements of an entry
# that ran on, which are up to 1 s old.
START_JOIN_S = 1.0
# Time without a call after which the process may have been frozen. What it receives for
# as long afterwards may be as old as that, and doesn't show that it still hears anyone.
GAP_S = 2.0


@dataclasses.dataclass(slots=True)
class _Other:
    """Another entry.

    Attributes:
        known_since: When its host became known, monotonic seconds.
        seen_at: When it was last heard, or named by a source.
        heard_at: When it was last heard.
        has_left: Whether it said that it doesn't accept callers: it starts or stops.
        was_starting: Whether it had just started when it was first heard.
    """

    known_since: float
    seen_at: float
    heard_at: float = -math.inf
    has_left: bool = False
    was_starting: bool = False


class Participants:
    """The entries that share a limit, as one entry knows them."""

    def __init__(self, host: str) -> None:
        """Initializes an entry that has heard nobody and doesn't take part yet.

        Args:
            host: Host of this entry.
        """
        self._host = host
        self._others: dict[str, _Other] = {}
        self._largest = 1
        self._called_at = math.inf
        self._hears_from = -math.inf
        self._majority_until = -math.inf
        self._majority_since: float | None = None
        self._takes_part = False
        self._knows_all = False
        self._sharing = frozenset((host,))
        self._sharing_until = math.inf

    def add_hosts(
        self,
        hosts: collections.abc.Iterable[str],
        now: float,
        are_all: bool = False,
    ) -> None:
        """Adds hosts at which entries may run, from the settings or the store.

        An entry that is alone takes part from the first call on.

        Args:
            hosts: The hosts.
            now: Present time, monotonic seconds.
            are_all: Whether they are all hosts that the store lists.
        """
        self._advance(now)
        self._knows_all = self._knows_all or are_all
        for host in hosts:
            self._record_seen(host, now)
        self._update_majority(now)

    def record_heard(
        self,
        host: str,
        is_ready: bool,
        named: collections.abc.Iterable[str],
        now: float,
        is_starting: bool = False,
    ) -> None:
        """Records an announcement of another entry.

        Args:
            host: Host of that entry.
            is_ready: Whether it accepts callers.
            named: Hosts of entries that it considers alive.
            now: Present time, monotonic seconds.
            is_starting: Whether that entry has just started.
        """
        self._advance(now)
        for name in (host, *named):
            self._record_seen(name, now)
        other = self._others.get(host)
        if other is not None:
            if other.heard_at == -math.inf:
                other.was_starting = is_starting
            if now >= self._hears_from:
                other.heard_at = now
            other.has_left = not is_ready
        self._update_majority(now)

    def list_sharing(self, now: float) -> frozenset[str]:
        """Returns the hosts that share a limit; empty if this entry may not send.

        The same object is returned while the hosts are the same. It is called at least
        every `GAP_S`, also while nothing is sent.
        """
        self._advance(now)
        if not self._takes_part and not self._may_join(now):
            return frozenset()
        self._takes_part = True
        if now >= self._sharing_until:
            self._update_sharing(now)
        return self._sharing

    def _record_seen(self, host: str, now: float) -> None:
        if host == self._host:
            return
        other = self._others.get(host)
        if other is None:
            other = self._others[host] = _Other(now, -math.inf)
        if now - other.seen_at > KEPT_S:
            self._sharing_until = -math.inf
        other.seen_at = now

    def _may_join(self, now: float) -> bool:
        if self._majority_since is None:
            return False
        if not self._others:
            return True
        heard = [o for o in self._others.values() if o.heard_at > -math.inf]
        if self._knows_all and all(other.was_starting for other in heard):
            return now - self._majority_since >= START_JOIN_S
        # An entry that this one knows and hasn't heard may not have heard it either.
        has_unheard = any(
            other.heard_at == -math.inf and now - other.known_since < KEPT_S
            for other in self._others.values()
        )
        return now - self._majority_since >= JOIN_S and not has_unheard

    def _advance(self, now: float) -> None:
        if now - self._called_at > GAP_S:
            self._hears_from = now + GAP_S
        self._called_at = now
        self._end_lost_majority(now)

    def _end_lost_majority(self, now: float) -> None:
        if now >= self._majority_until:
            self._majority_since = None
            self._takes_part = False

    def _update_majority(self, now: float) -> None:
        """Computes until when the entries heard so far are a majority.

        It is one of the largest number known at a time, less those that left. Entries
        that fell silent may be cut off, and count.
        """
        present = [other for other in self._others.values() if not other.has_left]
        known = 1 + sum(now - other.seen_at <= KEPT_S for other in present)
        self._largest = max(self._largest, known)
        needed = min(self._largest, 1 + len(present)) // 2
        heard_at = sorted((other.heard_at for other in present), reverse=True)
        self._majority_until = heard_at[needed - 1] + LEASE_S if needed else math.inf
        if now >= self._majority_until:
            self._end_lost_majority(now)
        elif self._majority_since is None:
            self._majority_since = now

    def _update_sharing(self, now: float) -> None:
        gone = [
            host
            for host, other in self._others.items()
            if other.has_left and now - other.seen_at > KEPT_S
        ]
        for host in gone:
            del self._others[host]
        seen_at = {
            host: other.seen_at
            for host, other in self._others.items()
            if now - other.seen_at <= KEPT_S
        }
        self._sharing_until = min(seen_at.values(), default=math.inf) + KEPT_S
        sharing = frozenset((self._host, *seen_at))
        if sharing != self._sharing:
            self._sharing = sharing
