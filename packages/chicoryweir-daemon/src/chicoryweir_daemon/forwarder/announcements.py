"""Datagrams by which entries tell one another what they have under way."""

from __future__ import annotations

import typing

import cbor2

from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import peers
from chicoryweir_policy.quarantine import records

# First element of each datagram; a change of the form changes it.
FORM = 2
_PARTS = 17
_MALFORMED = (TypeError, ValueError, LookupError, AttributeError, OverflowError)


def encode(announcement: peers.Announcement) -> bytes:
    """Returns the datagram of an announcement."""
    work = {
        instance: (done.requests, int(done.memory_tokens))
        for instance, done in announcement.endpoint_loads.items()
    }
    return cbor2.dumps(
        (
            FORM,
            announcement.name,
            announcement.incarnation,
            announcement.sequence,
            announcement.host,
            announcement.data_centre,
            announcement.address,
            announcement.ready,
            announcement.version,
            work,
            announcement.peers,
            sorted(announcement.duties),
            announcement.reaches_store,
            announcement.on_time,
            announcement.released_fence,
            _encode_news(announcement.crash_update),
            dict(announcement.slowdowns),
        )
    )


def decode(data: bytes) -> peers.Announcement:
    """Returns the announcement in a datagram.

    Raises:
        ValueError: The datagram holds something else.
    """
    try:
        parts: typing.Any = cbor2.loads(data)
        if len(parts) != _PARTS or parts[0] != FORM:
            raise ValueError(f"form {parts[0]!r} with {len(parts)} parts")
        work = {
            str(instance): loads.Load(int(done[0]), float(done[1]))
            for instance, done in parts[9].items()
        }
        return peers.Announcement(
            name=str(parts[1]),
            incarnation=int(parts[2]),
            sequence=int(parts[3]),
            host=str(parts[4]),
            data_centre=str(parts[5]),
            address=str(parts[6]),
            ready=bool(parts[7]),
            version=int(parts[8]),
            endpoint_loads=work,
            peers=tuple(str(host) for host in parts[10]),
            duties=frozenset(str(duty) for duty in parts[11]),
            reaches_store=bool(parts[12]),
            released_fence=int(parts[14]),
            on_time={str(name): int(count) for name, count in parts[13].items()},
            crash_update=_decode_news(parts[15]),
            slowdowns={str(name): float(pace) for name, pace in parts[16].items()},
        )
    except (cbor2.CBORDecodeError, *_MALFORMED) as error:
        raise ValueError(f"not an announcement: {error!r}") from error


def _encode_news(news: records.News) -> tuple[typing.Any, ...]:
    losses = [
        (
            loss.loss_id.instance,
            loss.loss_id.incarnation,
            sorted(loss.fingerprints),
            loss.age_s,
        )
        for loss in news.losses
    ]
    clearances = [
        (
            clearance.fingerprint,
            [(one.instance, one.incarnation) for one in sorted(clearance.losses)],
        )
        for clearance in news.clearances
    ]
    return news.cursor, losses, clearances


def _decode_news(parts: typing.Any) -> records.News:
    cursor, losses, clearances = parts
    return records.News(
        int(cursor),
        tuple(
            records.Loss(
                records.LossId(str(instance), str(incarnation)),
                frozenset(int(one) for one in fingerprints),
                float(age_s),
            )
            for instance, incarnation, fingerprints, age_s in losses
        ),
        tuple(
            records.Clearance(
                int(fingerprint),
                frozenset(records.LossId(str(a), str(b)) for a, b in cleared),
            )
            for fingerprint, cleared in clearances
        ),
    )
