"""What endpoints state about themselves in their answers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What an endpoint states about itself in the head of an answer.

    A decision uses each field; a statement that none uses is in `unknown`.

    Attributes:
        max_rate: Requests per second that it accepts from all entries together; None
            if it states no limit.
        rest_s: Time for which it wants no request from this entry, in seconds; 0 if it
            doesn't ask for a rest.
        leaving: Whether it is about to stop.
        cold_s: Time for which it is still slow after its start, in seconds; 0 if it is
            warm or states nothing.
        unknown: Names of header fields about the endpoint without a known meaning.
    """

    max_rate: float | None = None
    rest_s: float = 0.0
    leaving: bool = False
    cold_s: float = 0.0
    unknown: tuple[str, ...] = ()
