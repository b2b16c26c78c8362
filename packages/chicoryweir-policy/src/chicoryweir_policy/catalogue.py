"""Catalogue of the numbered log events; docs/events.md is checked against it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EventKind:
    """A kind of log event.

    Attributes:
        number: Its number, never used again for another kind.
        name: Short name.
        meaning: What happened.
        action: What an operator may do.
    """

    number: int
    name: str
    meaning: str
    action: str


DAEMON_STARTED = 100
DAEMON_READY = 101
DAEMON_STOPPED = 102
DRAIN_STARTED = 103
DRAIN_TIMED_OUT = 104
DAEMON_RELOADED = 105
SETTINGS_FILE_BAD = 106
LINK_OPENED = 110
LINK_CLOSED = 111
LINK_REFUSED = 112
ENDPOINT_LOST = 120
ENDPOINT_SERVING = 121
ENDPOINT_EJECTED = 122
ENDPOINT_CHANGED = 123
ENDPOINTS_LISTED = 124
ENDPOINT_UNREADABLE = 125
PEER_HEARD = 130
PEER_SILENT = 131
ANNOUNCEMENT_UNREADABLE = 132
ANNOUNCEMENT_NOT_SENT = 133
LINES_DROPPED = 140
REQUEST_REFUSED = 200
REQUEST_RETRIED = 201
REQUEST_RESUMED = 202
ANSWER_ABORTED = 203
ANSWER_CORRUPT = 204
REQUEST_ENDED = 205
REQUEST_MALFORMED = 206
CLAIM_TAKEN_OVER = 210
REQUEST_QUARANTINED = 220
MAP_CHANGED = 230
MAP_PROPOSED = 231
ORDER_FAILED = 232
RANK_SILENT = 233
RANK_PACE_CHANGED = 234
LEASE_HELD = 240
LEASE_LOST = 241
SETTINGS_ADOPTED = 300
SETTINGS_REFUSED = 301
SETTINGS_NOT_FETCHED = 302
STORE_UNREACHABLE = 310
STORE_BACK = 311
INVARIANT_VIOLATED = 900

KINDS: tuple[EventKind, ...] = (
    EventKind(DAEMON_STARTED, "daemon_started", "A daemon started.", "None."),
    EventKind(
        DAEMON_READY,
        "daemon_ready",
        "A daemon has settings and takes work.",
        "None.",
    ),
    EventKind(DAEMON_STOPPED, "daemon_stopped", "A daemon ended.", "None."),
    EventKind(
        DRAIN_STARTED,
        "drain_started",
        "A daemon takes no new work and ends what it has.",
        "None.",
    ),
    EventKind(
        DRAIN_TIMED_OUT,
        "drain_timed_out",
        "A request was still in progress when the drain timeout passed.",
        "Raise `drain_timeout_ms` if such requests are to end first.",
    ),
    EventKind(
        DAEMON_RELOADED,
        "daemon_reloaded",
        "The settings file was read again; `needs_restart` tells what is not.",
        "Restart the daemon where an address or a port is another one.",
    ),
    EventKind(
        SETTINGS_FILE_BAD,
        "settings_file_bad",
        "The settings file can't be used; the settings before it stay in force.",
        "Mend the key that the line names.",
    ),
    EventKind(LINK_OPENED, "link_opened", "A link to a daemon is up.", "None."),
    EventKind(
        LINK_CLOSED,
        "link_closed",
        "A link to a daemon is gone; it is dialled again.",
        "Look at the peer if it stays away.",
    ),
    EventKind(
        LINK_REFUSED,
        "link_refused",
        "A peer could not be reached or does not hold the cluster's secret.",
        "Compare `cluster_secret` in both settings files.",
    ),
    EventKind(
        ENDPOINT_LOST,
        "endpoint_lost",
        "The process of an endpoint died; what waited for it goes elsewhere, and what "
        "ran there is suspected of it.",
        "Look at the engine's own log.",
    ),
    EventKind(
        ENDPOINT_SERVING,
        "endpoint_serving",
        "An endpoint answers again.",
        "None.",
    ),
    EventKind(
        ENDPOINT_EJECTED,
        "endpoint_ejected",
        "An endpoint that is slow or fails beside its peers gets no work for a time.",
        "Look at the engine and its machine.",
    ),
    EventKind(
        ENDPOINT_CHANGED,
        "endpoint_changed",
        "An endpoint registered, restarted, is leaving, or its registration is gone.",
        "None, unless an endpoint that should serve is gone.",
    ),
    EventKind(
        ENDPOINTS_LISTED,
        "endpoints_listed",
        "An entry has its first list of endpoints, from the store or another entry.",
        "None.",
    ),
    EventKind(
        ENDPOINT_UNREADABLE,
        "endpoint_unreadable",
        "A registration in the store can't be used; the instance gets nothing.",
        "Look at the row and at who wrote it.",
    ),
    EventKind(
        PEER_HEARD,
        "peer_heard",
        "Another entry announces itself.",
        "None.",
    ),
    EventKind(
        PEER_SILENT,
        "peer_silent",
        "Another entry has stopped, or its announcements don't arrive.",
        "Look at that entry's log and at the network between both.",
    ),
    EventKind(
        ANNOUNCEMENT_UNREADABLE,
        "announcement_unreadable",
        "A datagram on the port for entries is no announcement.",
        "Look for a process of another version, or a stranger, at the peer.",
    ),
    EventKind(
        ANNOUNCEMENT_NOT_SENT,
        "announcement_not_sent",
        "The network refused a datagram to another entry.",
        "Look at the detail; a host without a listener is not told.",
    ),
    EventKind(
        LINES_DROPPED,
        "lines_dropped",
        "Log lines were dropped since the reader of the log did not keep up.",
        "Look at what reads the standard output.",
    ),
    EventKind(
        REQUEST_REFUSED,
        "request_refused",
        "A request ended without an answer; the problem tells why.",
        "See `chicoryweir explain`.",
    ),
    EventKind(
        REQUEST_RETRIED,
        "request_retried",
        "A request is tried on another endpoint.",
        "None.",
    ),
    EventKind(
        REQUEST_RESUMED,
        "request_resumed",
        "A broken stream goes on from another endpoint.",
        "None.",
    ),
    EventKind(
        ANSWER_ABORTED,
        "answer_aborted",
        "An answer that had begun could not be ended; its connection was broken.",
        "See `chicoryweir explain`.",
    ),
    EventKind(
        ANSWER_CORRUPT,
        "answer_corrupt",
        "The chunks of an answer did not fit their count or digest.",
        "Look at the agent named as peer.",
    ),
    EventKind(
        REQUEST_ENDED,
        "request_ended",
        "A request has its outcome; `attempts` lists where it was sent.",
        "See docs/OPERATIONS.md for a request that failed.",
    ),
    EventKind(
        REQUEST_MALFORMED,
        "request_malformed",
        "What a caller sent is no valid request, or is too long or too slow.",
        "Look at the caller.",
    ),
    EventKind(
        CLAIM_TAKEN_OVER,
        "claim_taken_over",
        "The claim of an attempt that never started passed to a new request.",
        "None.",
    ),
    EventKind(
        REQUEST_QUARANTINED,
        "request_quarantined",
        "A request is refused because endpoints died while its content ran.",
        "Look at the content with the workspace's owner.",
    ),
    EventKind(
        MAP_CHANGED,
        "map_changed",
        "A change of a group's expert map reached a phase.",
        "None.",
    ),
    EventKind(
        MAP_PROPOSED,
        "map_proposed",
        "A better expert map was worked out from the counts of some ranks.",
        "None.",
    ),
    EventKind(
        ORDER_FAILED,
        "order_failed",
        "A rank did not take an order, or gave no answer.",
        "None; the change goes on or is taken back.",
    ),
    EventKind(
        RANK_SILENT,
        "rank_silent",
        "The rank beside an agent did not answer a call.",
        "Look at the engine's own log.",
    ),
    EventKind(
        RANK_PACE_CHANGED,
        "rank_pace_changed",
        "A rank became slow, or works as usual again; while it is slow, experts and "
        "new requests move away from it.",
        "Look at the rank's machine where it stays slow.",
    ),
    EventKind(
        LEASE_HELD,
        "lease_held",
        "This entry holds the lease of a duty.",
        "None.",
    ),
    EventKind(
        LEASE_LOST,
        "lease_lost",
        "This entry no longer holds the lease of a duty.",
        "None, unless no entry holds it.",
    ),
    EventKind(
        SETTINGS_ADOPTED,
        "settings_adopted",
        "A version of the settings is in force here.",
        "None.",
    ),
    EventKind(
        SETTINGS_REFUSED,
        "settings_refused",
        "A version of the settings could not be read.",
        "Run `chicoryweir settings check` on the file that was applied.",
    ),
    EventKind(
        SETTINGS_NOT_FETCHED,
        "settings_not_fetched",
        "Another entry did not hand over settings or endpoints that this one lacks.",
        "None; the store is asked as well.",
    ),
    EventKind(
        STORE_UNREACHABLE,
        "store_unreachable",
        "The platform's store does not answer.",
        "Idempotent work goes on; at-most-once work is refused as not run.",
    ),
    EventKind(STORE_BACK, "store_back", "The platform's store answers.", "None."),
    EventKind(
        INVARIANT_VIOLATED,
        "invariant_violated",
        "An act was stopped because it would have broken a guarantee.",
        "Report it with the log around it.",
    ),
)

NAMES = {kind.number: kind.name for kind in KINDS}
