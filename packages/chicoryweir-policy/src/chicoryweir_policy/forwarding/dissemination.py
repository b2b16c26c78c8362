"""Selects the hosts that an announcement is sent to, and those that relay it.

In a large fleet most datagrams between entries would cross data centres. An entry sends
most of its announcements directly to the entries of its own data centre only, and to
one entry of each other data centre, which relays them to the entries there. The relay
is another one each time, so that one that ended or can't be reached costs a few
announcements only. At intervals an announcement goes to every host directly.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy import hashing
from chicoryweir_policy.forwarding import peers

# Announcements from one that goes to every host directly to the next. An entry counts
# as alive for the time of ten announcements, so each such time has one or two of them.
DIRECT_INTERVAL = 8
# Number of entries in another data centre from which on one of them relays. Fewer are
# sent to directly: a relay would save little.
MIN_RELAYED_ENTRIES = 3
# Number of relays in each data centre of an announcement without updates. An entry
# counts as alive for two or three of those only, and one in ten is lost on one of the
# two ways through a single relay if 5 % of all datagrams are.
IDLE_RELAYS = 2
# Time since the last iteration of its event loop's periodic task after which an entry
# relays nothing. What a frozen process receives is old when it wakes.
MAX_RELAY_LAG_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Receivers:
    """Hosts that an announcement is sent to.

    Attributes:
        direct: Hosts that only receive it.
        relays: Hosts that also relay it in their data centre.
    """

    direct: tuple[str, ...]
    relays: tuple[str, ...] = ()


def select_receivers(
    hosts: collections.abc.Collection[str],
    alive: collections.abc.Collection[peers.Announcement],
    data_centre: str,
    turn: int,
    is_urgent: bool,
    is_idle: bool = False,
) -> Receivers:
    """Selects the receivers of one announcement.

    Args:
        hosts: All hosts on which an entry may run.
        alive: Latest announcements of the other entries that are alive.
        data_centre: Data centre of this entry.
        turn: Number that rises with each announcement.
        is_urgent: Whether the announcement goes to every host directly.
        is_idle: Whether the announcement has no updates.
    """
    is_small = len(alive) < peers.FULL_RATE_ENTRIES
    if is_urgent or is_small or turn % DIRECT_INTERVAL == 0:
        return Receivers(tuple(sorted(hosts)))
    remote: dict[str, list[str]] = {}
    for peer in alive:
        if peer.data_centre != data_centre:
            remote.setdefault(peer.data_centre, []).append(peer.host)
    relayed = [group for group in remote.values() if len(group) >= MIN_RELAYED_ENTRIES]
    count = IDLE_RELAYS if is_idle else 1
    relays = [
        sorted(group)[(turn + n * len(group) // count) % len(group)]
        for group in relayed
        for n in range(count)
    ]
    indirect = {host for group in relayed for host in group}
    return Receivers(
        tuple(sorted(host for host in hosts if host not in indirect)),
        tuple(sorted(relays)),
    )


def select_relay_receivers(
    announcement: peers.Announcement,
    alive: collections.abc.Iterable[peers.Announcement],
    data_centre: str,
    lag_s: float,
) -> tuple[str, ...]:
    """Selects the hosts that this entry relays another entry's announcement to.

    Args:
        announcement: The announcement, which this entry has not received before.
        alive: Latest announcements of the other entries that are alive.
        data_centre: Data centre of this entry.
        lag_s: Time since the last iteration of the periodic task, in seconds.
    """
    if lag_s > MAX_RELAY_LAG_S or announcement.data_centre == data_centre:
        return ()
    return tuple(
        sorted(
            peer.host
            for peer in alive
            if peer.data_centre == data_centre and peer.name != announcement.name
        )
    )


def select_source(
    alive: collections.abc.Iterable[peers.Announcement],
    version: int,
    data_centre: str,
    name: str,
) -> str | None:
    """Selects the host to fetch a configuration from, in the own data centre if it can.

    Args:
        alive: Latest announcements of the other entries that are alive.
        version: Version that is needed at least.
        data_centre: Data centre of this entry.
        name: Name of this entry; spreads the fetches over the others.

    Returns:
        The host; None if no entry announces the version.
    """
    sources = [peer for peer in alive if peer.version >= version]
    near = [peer for peer in sources if peer.data_centre == data_centre]
    chosen = min(
        near or sources,
        key=lambda peer: hashing.hash_to_unit(f"{name}/{peer.name}/{version}"),
        default=None,
    )
    return None if chosen is None else chosen.host
