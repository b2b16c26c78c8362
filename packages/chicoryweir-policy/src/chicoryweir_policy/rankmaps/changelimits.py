"""Limits of time and retries of a map change's states, in seconds."""

from __future__ import annotations

import math

# Interval between reports requested from a rank until one shows the expected state.
POLL_INTERVAL_S = 0.06
# Maximum number of retries of an unanswered order before the change is rolled back. The
# change is also rolled back after this many hold orders for a step that had already
# begun.
MAX_RETRIES = 4
# Timeouts of the states, long enough for all retries and their call timeouts. From
# `arming` on, the group may be held during that time.
PREPARE_TIMEOUT_S = 4.0
ARM_TIMEOUT_S = 1.5
CHECK_TIMEOUT_S = 1.5
# Reports are requested after the estimated copy time, multiplied by a factor, plus the
# time of an order; they tell whether the weights have been copied.
COPY_TIME_FACTOR = 1.02
COPY_SLACK_S = 0.015
# Time after that until all ranks must have reported that they have copied the weights.
COPY_TIMEOUT_S = 1.5

# States in which orders are retried without limit, since ranks would otherwise stay
# armed or the group held.
UNLIMITED_STATES = frozenset({"releasing", "fencing", "disarming", "withdrawing"})


def compute_copy_wait(copy_s: float) -> float:
    """Returns how long the ranks are expected to copy weights.

    Args:
        copy_s: Time that the slowest rank needs to copy weights, in seconds.
    """
    return copy_s * COPY_TIME_FACTOR + COPY_SLACK_S


def compute_timeout(state: str, copy_s: float) -> float:
    """Returns the timeout of a state of the change; infinite if it has none.

    Args:
        state: State in the chart `rank_map_change`.
        copy_s: Time that the slowest rank needs to copy weights, in seconds.
    """
    match state:
        case "preparing":
            return PREPARE_TIMEOUT_S
        case "copying":
            return copy_s * COPY_TIME_FACTOR + COPY_TIMEOUT_S
        case "arming":
            return ARM_TIMEOUT_S
        case "checking" | "verifying":
            return CHECK_TIMEOUT_S
        case _:
            return math.inf
