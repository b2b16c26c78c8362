"""Catalogue of the numbered log events.

docs/events.md is generated from it; a test compares the two.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EventKind:
    """A kind of log event.

    Attributes:
        number: Unique number, never reused for another kind.
        name: Short name.
        meaning: What happened.
        action: What an operator should do.
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
DAEMON_FAILED = 107
LISTENER_UNAVAILABLE = 108
CONNECTION_REFUSED = 109
LINK_OPENED = 110
LINK_CLOSED = 111
LINK_REFUSED = 112
ENDPOINT_LOST = 120
ENDPOINT_SERVING = 121
ENDPOINT_EJECTED = 122
ENDPOINT_CHANGED = 123
ENDPOINTS_LISTED = 124
ENDPOINT_UNREADABLE = 125
ENDPOINT_RATE_CHANGED = 126
ENDPOINT_RESTING = 127
STATEMENT_UNKNOWN = 128
PEER_HEARD = 130
PEER_SILENT = 131
ANNOUNCEMENT_UNREADABLE = 132
ANNOUNCEMENT_NOT_SENT = 133
LINES_DROPPED = 140
RECEIVED_REFUSED = 141
ENDPOINT_COLD = 150
ENDPOINT_WARM = 151
REQUEST_REFUSED = 200
REQUEST_RETRIED = 201
REQUEST_RESUMED = 202
ANSWER_ABORTED = 203
ANSWER_CORRUPT = 204
REQUEST_ENDED = 205
REQUEST_MALFORMED = 206
SILENT_ATTEMPT_KEPT = 207
CLAIM_TAKEN_OVER = 210
REQUEST_QUARANTINED = 220
PROMPT_PART_HELD = 221
PROMPT_PART_RELEASED = 222
MAP_CHANGED = 230
MAP_PROPOSED = 231
ORDER_FAILED = 232
RANK_SILENT = 233
RANK_PACE_CHANGED = 234
GROUP_LOAD = 235
RANK_CALL_BAD = 236
RANK_MAP_BAD = 237
MAP_UNFINISHED = 238
LEASE_HELD = 240
LEASE_LOST = 241
SETTINGS_ADOPTED = 300
SETTINGS_REFUSED = 301
SETTINGS_NOT_FETCHED = 302
SETTINGS_KEPT = 303
CONFIGURATION_WAIT_RENEWED = 304
STORE_UNREACHABLE = 310
STORE_BACK = 311
STORE_RESTORED = 312
STORE_CALL_LOST = 313
EVACUATION_STARTED = 320
EVACUATION_ENDED = 321
EVACUATION_DRAINED = 322
EVACUATION_KEPT = 323
EVACUATION_IGNORED = 324
EVACUATION_UNKNOWN = 325
SERVICE_EVACUATED = 326
PROCESS_FROZEN = 327
INVARIANT_VIOLATED = 900
TASK_FAILED = 901

KINDS: tuple[EventKind, ...] = (
    EventKind(DAEMON_STARTED, "daemon_started", "A daemon started.", "None."),
    EventKind(
        DAEMON_READY,
        "daemon_ready",
        "A daemon has loaded its settings and accepts work.",
        "None.",
    ),
    EventKind(DAEMON_STOPPED, "daemon_stopped", "A daemon stopped.", "None."),
    EventKind(
        DRAIN_STARTED,
        "drain_started",
        "A daemon rejects new requests and completes those that it has.",
        "None.",
    ),
    EventKind(
        DRAIN_TIMED_OUT,
        "drain_timed_out",
        "A request was still running when the drain timeout expired.",
        "Raise `drain_timeout_ms` if such requests should complete.",
    ),
    EventKind(
        DAEMON_RELOADED,
        "daemon_reloaded",
        "The settings file was reloaded; `needs_restart` lists what a reload doesn't "
        "apply.",
        "Restart the daemon if an address or a port changed.",
    ),
    EventKind(
        SETTINGS_FILE_BAD,
        "settings_file_bad",
        "The settings file is invalid or can't be read; the previous settings stay in "
        "force, and a daemon that starts waits for a valid file.",
        "Correct the key named in the log line.",
    ),
    EventKind(
        DAEMON_FAILED,
        "daemon_failed",
        "A daemon ended by an error.",
        "See `detail`; if it names nothing to correct, report it with the log.",
    ),
    EventKind(
        LISTENER_UNAVAILABLE,
        "listener_unavailable",
        "A daemon that starts can't open a listener yet, and tries again.",
        "If it lasts, end the program that uses the address, or correct the address.",
    ),
    EventKind(
        CONNECTION_REFUSED,
        "connection_refused",
        "Connections were closed at once, as many as the descriptors allow are open.",
        "Raise the limit of descriptors, or add entries.",
    ),
    EventKind(
        LINK_OPENED, "link_opened", "A link to a daemon was established.", "None."
    ),
    EventKind(
        LINK_CLOSED,
        "link_closed",
        "A link to a daemon was closed; the connection is retried.",
        "Check the peer if the link is not re-established.",
    ),
    EventKind(
        LINK_REFUSED,
        "link_refused",
        "A peer could not be reached or has another cluster secret.",
        "Compare `cluster_secret` in both settings files.",
    ),
    EventKind(
        ENDPOINT_LOST,
        "endpoint_lost",
        "The process of an endpoint died; its queued requests go to other endpoints, "
        "and the requests that ran on it are suspected as the cause.",
        "Check the log of the engine.",
    ),
    EventKind(
        ENDPOINT_SERVING,
        "endpoint_serving",
        "An endpoint responds again.",
        "None.",
    ),
    EventKind(
        ENDPOINT_EJECTED,
        "endpoint_ejected",
        "An endpoint that is much slower or fails more often than its peers was "
        "ejected for a time.",
        "Check the engine and its host.",
    ),
    EventKind(
        ENDPOINT_CHANGED,
        "endpoint_changed",
        "An endpoint registered, restarted, began to leave, or its registration was "
        "removed.",
        "None, unless an endpoint that should serve was removed.",
    ),
    EventKind(
        ENDPOINTS_LISTED,
        "endpoints_listed",
        "An entry received its first list of endpoints, from the store or a peer.",
        "None.",
    ),
    EventKind(
        ENDPOINT_UNREADABLE,
        "endpoint_unreadable",
        "A registration in the store is invalid; its instance gets no requests.",
        "Check the row and the process that wrote it.",
    ),
    EventKind(
        ENDPOINT_RATE_CHANGED,
        "endpoint_rate_changed",
        "The requests per second that an endpoint accepts from all entries "
        "(`max_rate`) changed; this entry sends up to `own_rate`, 0 if other entries "
        "send them. Without a rate, it accepts any number.",
        "Check the load of the engine.",
    ),
    EventKind(
        ENDPOINT_RESTING,
        "endpoint_resting",
        "An endpoint declined a request and wants none from this entry for `rest_s`.",
        "Check the load of the engine.",
    ),
    EventKind(
        STATEMENT_UNKNOWN,
        "statement_unknown",
        "Endpoints of a service send a header about themselves that no decision uses.",
        "Look the header up in the platform's pages and report it.",
    ),
    EventKind(
        PEER_HEARD,
        "peer_heard",
        "Announcements of another entry arrive.",
        "None.",
    ),
    EventKind(
        PEER_SILENT,
        "peer_silent",
        "Another entry stopped, or its announcements don't arrive.",
        "Check the log of that entry and the network to it.",
    ),
    EventKind(
        ANNOUNCEMENT_UNREADABLE,
        "announcement_unreadable",
        "A datagram on the announcement port could not be decoded.",
        "Check the peer for a process of another version or an unrelated sender.",
    ),
    EventKind(
        ANNOUNCEMENT_NOT_SENT,
        "announcement_not_sent",
        "A datagram to another entry could not be sent.",
        "See `detail`; a host without a listener is not reported.",
    ),
    EventKind(
        LINES_DROPPED,
        "lines_dropped",
        "Log lines were dropped because the reader of the log did not keep up.",
        "Check the process that reads standard output.",
    ),
    EventKind(
        RECEIVED_REFUSED,
        "received_refused",
        "Messages were refused, or connections closed, in the last minute: they were "
        "beyond a limit or there was no memory for them.",
        "See which limits `causes` names; raise one if callers or endpoints need it.",
    ),
    EventKind(
        ENDPOINT_COLD,
        "endpoint_cold",
        "An endpoint of a service with `cold_per_s` is cold, for another `left_s`, as "
        "shown by `reason` `age_s` ago; this entry sends it up to `max_requests` in "
        "1.2 s, 0 if other entries send them.",
        "None, unless it happens often without a restart or an evacuation.",
    ),
    EventKind(
        ENDPOINT_WARM,
        "endpoint_warm",
        "An endpoint is no longer cold, and gets any number of requests.",
        "None.",
    ),
    EventKind(
        REQUEST_REFUSED,
        "request_refused",
        "A request ended without an answer; the problem document states the reason.",
        "See `chicoryweir explain`.",
    ),
    EventKind(
        REQUEST_RETRIED,
        "request_retried",
        "A request is retried at another endpoint.",
        "None.",
    ),
    EventKind(
        REQUEST_RESUMED,
        "request_resumed",
        "A broken stream is resumed at another endpoint.",
        "None.",
    ),
    EventKind(
        ANSWER_ABORTED,
        "answer_aborted",
        "An answer that had begun could not be completed; its connection was aborted.",
        "See `chicoryweir explain`.",
    ),
    EventKind(
        ANSWER_CORRUPT,
        "answer_corrupt",
        "The chunks of an answer did not match their count or digest.",
        "Check the agent named in `peer`.",
    ),
    EventKind(
        REQUEST_ENDED,
        "request_ended",
        "A request ended; `attempts` lists the endpoints that it was sent to, "
        "`admission` what it was queued, dispatched or rejected by, `shared_parts` "
        "the parts of its prompt that other requests may share, and `max_rate` the "
        "requests per second that the last endpoint accepts, if it states a limit.",
        "If it failed, see docs/OPERATIONS.md.",
    ),
    EventKind(
        REQUEST_MALFORMED,
        "request_malformed",
        "A caller sent an invalid request, or one that is too large or too slow.",
        "Check the caller.",
    ),
    EventKind(
        SILENT_ATTEMPT_KEPT,
        "silent_attempt_kept",
        "An endpoint is silent while others of its service answer; its request stays "
        "there, as `detail` says.",
        "Check the log of the engine if it happens often.",
    ),
    EventKind(
        CLAIM_TAKEN_OVER,
        "claim_taken_over",
        "A new request took over the claim of an attempt that never started.",
        "None.",
    ),
    EventKind(
        REQUEST_QUARANTINED,
        "request_quarantined",
        "A request was rejected because endpoints died while they ran its content, or "
        "began to answer on a part of its prompt.",
        "Examine the content with the owner of the workspace.",
    ),
    EventKind(
        PROMPT_PART_HELD,
        "prompt_part_held",
        "Requests with a part of a prompt are rejected, because endpoints (`lost`) "
        "crashed as they began to answer on it; after `trial_in_s`, single requests "
        "may run.",
        "Find the part in `shared_parts` of request_ended, and examine it with the "
        "owners of the workspaces.",
    ),
    EventKind(
        PROMPT_PART_RELEASED,
        "prompt_part_released",
        "A part of a prompt is no longer held: an endpoint answered on it, another "
        "part explains the crashes, or they are too long ago.",
        "None.",
    ),
    EventKind(
        MAP_CHANGED,
        "map_changed",
        "A change of the expert map of a group entered a phase.",
        "None.",
    ),
    EventKind(
        MAP_PROPOSED,
        "map_proposed",
        "A better expert map was computed from the expert load of the ranks.",
        "None.",
    ),
    EventKind(
        ORDER_FAILED,
        "order_failed",
        "A rank rejected an order or did not reply.",
        "None; the change continues or is reverted.",
    ),
    EventKind(
        RANK_SILENT,
        "rank_silent",
        "The rank of an agent did not answer a call.",
        "Check the log of the engine.",
    ),
    EventKind(
        RANK_PACE_CHANGED,
        "rank_pace_changed",
        "A rank became slow or returned to its usual speed; while it is slow, experts "
        "and new requests are moved to other ranks.",
        "Check the host of the rank if it stays slow.",
    ),
    EventKind(
        GROUP_LOAD,
        "group_load",
        "Running and waiting requests at the ranks of a group, from their reports.",
        "Compare `running` with that of `request_ended` if streams are late.",
    ),
    EventKind(
        RANK_CALL_BAD,
        "rank_call_bad",
        "The body of an entry's call is not valid; the rank was not called.",
        "Check the releases of the entry and the agent.",
    ),
    EventKind(
        RANK_MAP_BAD,
        "rank_map_bad",
        "The experts that the ranks of a group report are not those of its layout; the "
        "map is not changed.",
        "Check the configuration of the service and the log of the engine.",
    ),
    EventKind(
        MAP_UNFINISHED,
        "map_unfinished",
        "A change of an expert map that another entry began, or a late order, left "
        "some ranks armed or held; it is rolled back while the group is held.",
        "None; the group waits until all ranks have reported.",
    ),
    EventKind(
        LEASE_HELD,
        "lease_held",
        "This entry acquired the lease of a duty.",
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
        "This daemon adopted a version of the settings.",
        "None.",
    ),
    EventKind(
        SETTINGS_REFUSED,
        "settings_refused",
        "A version of the settings was rejected.",
        "Run `chicoryweir settings check` on the file that was applied.",
    ),
    EventKind(
        SETTINGS_NOT_FETCHED,
        "settings_not_fetched",
        "Settings or endpoints could not be fetched from another entry.",
        "None; they are also fetched from the store.",
    ),
    EventKind(
        SETTINGS_KEPT,
        "settings_kept",
        "A version of the settings older than the one in force was read and ignored.",
        "None; after `store_restored`, the newer version is written again.",
    ),
    EventKind(
        CONFIGURATION_WAIT_RENEWED,
        "configuration_wait_renewed",
        "A call that has waited for a newer configuration for `waited_s` is replaced, "
        "as it may never be answered; `detail` says why.",
        "None.",
    ),
    EventKind(
        STORE_UNREACHABLE,
        "store_unreachable",
        "The platform's store does not respond.",
        "Idempotent requests still run; at-most-once requests are rejected as not run.",
    ),
    EventKind(STORE_BACK, "store_back", "The platform's store responds.", "None."),
    EventKind(
        STORE_RESTORED,
        "store_restored",
        "The platform's store was restored from a copy and lost its latest changes.",
        "None; the entry reads everything again.",
    ),
    EventKind(
        STORE_CALL_LOST,
        "store_call_lost",
        "A call to the store failed that was made `age_s` ago, before one that was "
        "answered; it tells nothing of the present state of the store.",
        "None, unless it happens often.",
    ),
    EventKind(
        EVACUATION_STARTED,
        "evacuation_started",
        "A data centre is evacuated: its endpoints get no new requests, and running "
        "ones (`running`, of this entry) finish.",
        "None; deleting the operator's row cancels it.",
    ),
    EventKind(
        EVACUATION_ENDED,
        "evacuation_ended",
        "The evacuation of a data centre was cancelled; its endpoints get requests "
        "again.",
        "None.",
    ),
    EventKind(
        EVACUATION_DRAINED,
        "evacuation_drained",
        "The last request of this entry in an evacuated data centre ended.",
        "None; once all entries log it, the data centre is idle.",
    ),
    EventKind(
        EVACUATION_KEPT,
        "evacuation_kept",
        "A restored store contradicts what the entries know of an evacuation, which "
        "stays as `evacuated` says.",
        "Write or delete the operator's row again; if it is missing and should be, "
        "write it and delete it.",
    ),
    EventKind(
        EVACUATION_IGNORED,
        "evacuation_ignored",
        "A row or record of an evacuation was ignored: its name is empty or too long, "
        "or there are too many.",
        "Correct or delete the operator's row.",
    ),
    EventKind(
        EVACUATION_UNKNOWN,
        "evacuation_unknown",
        "A data centre is evacuated of which no endpoint and no entry is known.",
        "Check the name in the operator's row.",
    ),
    EventKind(
        SERVICE_EVACUATED,
        "service_evacuated",
        "All endpoints of a service are in evacuated data centres; its requests are "
        "rejected.",
        "Cancel an evacuation, or start endpoints elsewhere.",
    ),
    EventKind(
        PROCESS_FROZEN,
        "process_frozen",
        "The process didn't run for `frozen_s`. Its requests wait until the store has "
        "confirmed what it knows of evacuations, for 1.2 s at most.",
        "Check the machine.",
    ),
    EventKind(
        INVARIANT_VIOLATED,
        "invariant_violated",
        "An action was prevented because it would have violated an invariant.",
        "Report it with the surrounding log lines.",
    ),
    EventKind(
        TASK_FAILED,
        "task_failed",
        "An unexpected error ended a request or a round of a task; the process goes "
        "on.",
        "Report it with the surrounding log lines.",
    ),
)

NAMES = {kind.number: kind.name for kind in KINDS}
