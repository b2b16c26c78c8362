"""Encodes and decodes the announcements that entries exchange as datagrams."""

from __future__ import annotations

import typing

import cbor2

from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import partattribution
from chicoryweir_policy.forwarding import peers
from chicoryweir_policy.forwarding import promptparts
from chicoryweir_policy.forwarding import ratelimits
from chicoryweir_policy.forwarding import rests
from chicoryweir_policy.quarantine import records

# First element of each datagram; incremented when the layout changes.
FORMAT_VERSION = 7
_PART_COUNT = 22
_DECODING_ERRORS = (TypeError, ValueError, LookupError, AttributeError, OverflowError)


def encode(announcement: peers.Announcement) -> bytes:
    """Encodes an announcement as a datagram."""
    endpoint_loads = {
        instance: (load.requests, int(load.memory_tokens))
        for instance, load in announcement.endpoint_loads.items()
    }
    return cbor2.dumps(
        (
            FORMAT_VERSION,
            announcement.name,
            announcement.incarnation,
            announcement.sequence,
            announcement.host,
            announcement.data_centre,
            announcement.address,
            announcement.ready,
            announcement.version,
            endpoint_loads,
            announcement.peers,
            sorted(announcement.duties),
            announcement.reaches_store,
            announcement.on_time,
            announcement.released_fence,
            _encode_crash_update(announcement.crash_update),
            dict(announcement.slowdowns),
            announcement.capacity,
            _encode_part_update(announcement.part_update),
            _encode_rates(announcement.rates),
            [(leaving.instance, leaving.born_ms) for leaving in announcement.leaving],
            [
                (rest.process.instance, rest.process.incarnation, rest.left_s)
                for rest in announcement.rests
            ],
        )
    )


def decode(data: bytes) -> peers.Announcement:
    """Decodes a datagram.

    Raises:
        ValueError: The datagram is not a valid announcement.
    """
    try:
        parts: typing.Any = cbor2.loads(data)
        if len(parts) != _PART_COUNT or parts[0] != FORMAT_VERSION:
            raise ValueError(f"format {parts[0]!r} with {len(parts)} parts")
        endpoint_loads = {
            str(instance): loads.Load(int(load[0]), float(load[1]))
            for instance, load in parts[9].items()
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
            endpoint_loads=endpoint_loads,
            peers=tuple(str(host) for host in parts[10]),
            duties=frozenset(str(duty) for duty in parts[11]),
            reaches_store=bool(parts[12]),
            released_fence=int(parts[14]),
            on_time={str(name): int(count) for name, count in parts[13].items()},
            crash_update=_decode_crash_update(parts[15]),
            slowdowns={
                str(name): float(slowdown) for name, slowdown in parts[16].items()
            },
            capacity=float(parts[17]),
            part_update=_decode_part_update(parts[18]),
            rates=_decode_rates(parts[19]),
            leaving=tuple(
                endpoints.Leaving(str(instance), int(born_ms))
                for instance, born_ms in parts[20]
            ),
            rests=tuple(
                rests.Announced(
                    records.LossId(str(instance), str(incarnation)), float(left_s)
                )
                for instance, incarnation, left_s in parts[21]
            ),
        )
    except (cbor2.CBORDecodeError, *_DECODING_ERRORS) as error:
        raise ValueError(f"not an announcement: {error!r}") from error


def _encode_crash_update(update: records.News) -> tuple[typing.Any, ...]:
    losses = [
        (
            loss.loss_id.instance,
            loss.loss_id.incarnation,
            sorted(loss.fingerprints),
            loss.age_s,
        )
        for loss in update.losses
    ]
    clearances = [
        (
            clearance.fingerprint,
            [
                (loss_id.instance, loss_id.incarnation)
                for loss_id in sorted(clearance.losses)
            ],
        )
        for clearance in update.clearances
    ]
    return update.cursor, losses, clearances


def _decode_crash_update(parts: typing.Any) -> records.News:
    cursor, losses, clearances = parts
    return records.News(
        int(cursor),
        tuple(
            records.Loss(
                records.LossId(str(instance), str(incarnation)),
                frozenset(int(value) for value in fingerprints),
                float(age_s),
            )
            for instance, incarnation, fingerprints, age_s in losses
        ),
        tuple(
            records.Clearance(
                int(fingerprint),
                frozenset(
                    records.LossId(str(lost_instance), str(lost_incarnation))
                    for lost_instance, lost_incarnation in loss_ids
                ),
            )
            for fingerprint, loss_ids in clearances
        ),
    )


def _encode_part_update(update: promptparts.Update) -> tuple[typing.Any, ...]:
    crashes = [
        (
            crash.process.instance,
            crash.process.incarnation,
            [
                (suspect.fingerprint, suspect.parts)
                for suspect in sorted(crash.suspects)
            ],
            crash.age_s,
        )
        for crash in update.crashes
    ]
    return crashes, [(proof.part, proof.age_s) for proof in update.proofs]


def _decode_part_update(parts: typing.Any) -> promptparts.Update:
    crashes, proofs = parts
    return promptparts.Update(
        tuple(
            promptparts.Crash(
                records.LossId(str(instance), str(incarnation)),
                frozenset(
                    partattribution.Suspect(
                        int(fingerprint), tuple(str(part) for part in shared_parts)
                    )
                    for fingerprint, shared_parts in suspects
                ),
                float(age_s),
            )
            for instance, incarnation, suspects, age_s in crashes
        ),
        tuple(promptparts.Proof(str(part), float(age_s)) for part, age_s in proofs),
    )


def _encode_rates(
    rates: tuple[ratelimits.Statement, ...],
) -> list[tuple[typing.Any, ...]]:
    return [
        (
            statement.process.instance,
            statement.process.incarnation,
            statement.max_rate,
            statement.age_s,
        )
        for statement in rates
    ]


def _decode_rates(parts: typing.Any) -> tuple[ratelimits.Statement, ...]:
    return tuple(
        ratelimits.Statement(
            records.LossId(str(instance), str(incarnation)),
            None if max_rate is None else float(max_rate),
            float(age_s),
        )
        for instance, incarnation, max_rate, age_s in parts
    )
