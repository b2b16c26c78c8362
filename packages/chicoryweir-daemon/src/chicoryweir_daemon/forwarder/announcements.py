"""Encodes and decodes the announcements that entries exchange as datagrams."""

from __future__ import annotations

import ipaddress
import typing

import cbor2

from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import evacuations
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import partattribution
from chicoryweir_policy.forwarding import peers
from chicoryweir_policy.forwarding import promptparts
from chicoryweir_policy.forwarding import ratelimits
from chicoryweir_policy.forwarding import rests
from chicoryweir_policy.quarantine import records

# First element of each datagram; incremented when the layout changes.
FORMAT_VERSION = 8
_PART_COUNT = 23
_DECODING_ERRORS = (
    TypeError,
    ValueError,
    LookupError,
    AttributeError,
    OverflowError,
    RecursionError,
)
_MAX_DETAIL_LENGTH = 200
# Bounds of what is computed with. Texts are names, fingerprints have 64 bits, times
# are in seconds and loads in tokens.
MAX_TEXT_LENGTH = 256
MAX_COUNT = (1 << 64) - 1
MAX_NUMBER = 1e15
MIN_SLOWDOWN = 0.01
MAX_SLOWDOWN = 1e6


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
            _encode_evacuations(announcement.evacuations),
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
            _read_text(instance): loads.Load(
                _read_count(load[0]), _read_number(load[1])
            )
            for instance, load in parts[9].items()
        }
        return peers.Announcement(
            name=_read_text(parts[1]),
            incarnation=_read_count(parts[2]),
            sequence=_read_count(parts[3]),
            host=_read_host(parts[4]),
            data_centre=_read_text(parts[5]),
            address=_read_text(parts[6]),
            ready=bool(parts[7]),
            version=_read_count(parts[8]),
            endpoint_loads=endpoint_loads,
            peers=tuple(_read_host(host) for host in parts[10]),
            duties=frozenset(_read_text(duty) for duty in parts[11]),
            reaches_store=bool(parts[12]),
            released_fence=_read_count(parts[14]),
            on_time={
                _read_text(name): _read_count(count)
                for name, count in parts[13].items()
            },
            crash_update=_decode_crash_update(parts[15]),
            slowdowns={
                _read_text(name): _read_slowdown(slowdown)
                for name, slowdown in parts[16].items()
            },
            capacity=_read_number(parts[17]),
            part_update=_decode_part_update(parts[18]),
            rates=_decode_rates(parts[19]),
            leaving=tuple(
                endpoints.Leaving(_read_text(instance), _read_count(born_ms))
                for instance, born_ms in parts[20]
            ),
            rests=tuple(
                rests.Announced(
                    _read_loss_id(instance, incarnation), _read_number(left_s)
                )
                for instance, incarnation, left_s in parts[21]
            ),
            evacuations=_decode_evacuations(parts[22]),
        )
    except (cbor2.CBORDecodeError, *_DECODING_ERRORS) as error:
        detail = repr(error)[:_MAX_DETAIL_LENGTH]
        raise ValueError(f"not an announcement: {detail}") from error


def _read_text(value: typing.Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
        raise ValueError(f"not a text of up to {MAX_TEXT_LENGTH} characters")
    return value


def _read_count(value: typing.Any) -> int:
    if type(value) is not int or not 0 <= value <= MAX_COUNT:
        raise ValueError(f"not a whole number from 0 to {MAX_COUNT}")
    return value


def _read_number(value: typing.Any) -> float:
    if type(value) not in (int, float) or not 0.0 <= value <= MAX_NUMBER:
        raise ValueError(f"not a number from 0 to {MAX_NUMBER}")
    return float(value)


def _read_slowdown(value: typing.Any) -> float:
    slowdown = _read_number(value)
    if not MIN_SLOWDOWN <= slowdown <= MAX_SLOWDOWN:
        raise ValueError(f"not a slowdown from {MIN_SLOWDOWN} to {MAX_SLOWDOWN}")
    return slowdown


def _read_host(value: typing.Any) -> str:
    """Returns the host of an entry, to which datagrams are sent over IPv4."""
    address = ipaddress.IPv4Address(_read_text(value))
    if address.is_multicast or address.is_unspecified:
        raise ValueError("not the address of a host")
    return str(address)


def _read_loss_id(instance: typing.Any, incarnation: typing.Any) -> records.LossId:
    return records.LossId(_read_text(instance), _read_text(incarnation))


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
        _read_count(cursor),
        tuple(
            records.Loss(
                _read_loss_id(instance, incarnation),
                frozenset(_read_count(value) for value in fingerprints),
                _read_number(age_s),
            )
            for instance, incarnation, fingerprints, age_s in losses
        ),
        tuple(
            records.Clearance(
                _read_count(fingerprint),
                frozenset(
                    _read_loss_id(lost_instance, lost_incarnation)
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
                _read_loss_id(instance, incarnation),
                frozenset(
                    partattribution.Suspect(
                        _read_count(fingerprint),
                        tuple(_read_text(part) for part in shared_parts),
                    )
                    for fingerprint, shared_parts in suspects
                ),
                _read_number(age_s),
            )
            for instance, incarnation, suspects, age_s in crashes
        ),
        tuple(
            promptparts.Proof(_read_text(part), _read_number(age_s))
            for part, age_s in proofs
        ),
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
            _read_loss_id(instance, incarnation),
            None if max_rate is None else _read_number(max_rate),
            _read_number(age_s),
        )
        for instance, incarnation, max_rate, age_s in parts
    )


def _encode_evacuations(
    found: tuple[evacuations.Record, ...] | None,
) -> list[tuple[typing.Any, ...]] | None:
    if found is None:
        return None
    return [
        (
            record.data_centre,
            record.era,
            record.version,
            record.evacuated,
            record.since_era,
        )
        for record in found
    ]


def _decode_evacuations(parts: typing.Any) -> tuple[evacuations.Record, ...] | None:
    if parts is None:
        return None
    return tuple(
        evacuations.Record(
            _read_text(data_centre),
            _read_count(era),
            _read_count(version),
            bool(evacuated),
            None if since_era is None else _read_count(since_era),
        )
        for data_centre, era, version, evacuated, since_era in parts
    )
