"""Attributes lost endpoints to the requests that ran on them.

A request that ran on at least `quarantine_losses` lost incarnations is a candidate. A
candidate is necessary if it is the only candidate of some loss, and coincidental if it
is not necessary but each of its losses also has a necessary candidate. Coincidental
candidates stay suspects, all others are quarantined. Candidates that cannot be
distinguished, such as those with equal losses, are therefore all quarantined, because
distinguishing them would cost another endpoint.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy.quarantine import records

# If at least this many instances are lost within the window, the losses are attributed
# to a common failure, such as that of a rack, and not to requests.
BURST_INSTANCES = 4
BURST_WINDOW_S = 5.0


def find_bursts(
    lost_at: collections.abc.Mapping[records.LossId, float],
) -> frozenset[records.LossId]:
    """Finds the losses that are part of a common failure of many instances.

    Args:
        lost_at: Time of each loss, in seconds of one clock.
    """
    ordered = sorted(lost_at, key=lambda loss_id: (lost_at[loss_id], loss_id))
    burst_losses: set[records.LossId] = set()
    first = 0
    for last, loss_id in enumerate(ordered):
        while lost_at[loss_id] - lost_at[ordered[first]] > BURST_WINDOW_S:
            first += 1
        window = ordered[first : last + 1]
        if len({member.instance for member in window}) >= BURST_INSTANCES:
            burst_losses.update(window)
    return frozenset(burst_losses)


@dataclasses.dataclass(frozen=True, slots=True)
class Attribution:
    """Result of attributing the known losses to requests.

    Attributes:
        quarantined: Fingerprints to reject.
        explained: Losses that a quarantined request probably caused; they are evicted
            last.
        certain: Explained losses of which other requests are cleared. The quarantined
            request has more losses than a quarantine requires, not counting those that
            another quarantined request may have caused, so it is not coincidental.
    """

    quarantined: frozenset[int]
    explained: frozenset[records.LossId]
    certain: frozenset[records.LossId]


class LossAttributor:
    """Attributes losses to the requests that were running, by fingerprint."""

    def __init__(self, quarantine_losses: int) -> None:
        self._quarantine_losses = quarantine_losses
        self._losses: dict[int, frozenset[records.LossId]] = {}
        self._candidates: set[int] = set()

    def get_losses(self, fingerprint: int) -> frozenset[records.LossId]:
        """Returns the losses of which a fingerprint is suspected."""
        return self._losses.get(fingerprint, frozenset())

    def is_candidate(self, fingerprint: int) -> bool:
        """Returns whether a fingerprint has enough losses to be quarantined."""
        return fingerprint in self._candidates

    def add_losses(self, fingerprint: int, losses: frozenset[records.LossId]) -> None:
        """Adds losses to those of which a fingerprint is suspected."""
        known = self._losses.get(fingerprint)
        self._set(fingerprint, losses if known is None else known | losses)

    def remove_losses(
        self, fingerprint: int, losses: frozenset[records.LossId]
    ) -> None:
        """Removes losses from those of which a fingerprint is suspected."""
        self._set(fingerprint, self.get_losses(fingerprint) - losses)

    def attribute(self) -> Attribution:
        """Determines which candidates to quarantine and which losses they explain."""
        candidates_by_loss: dict[records.LossId, set[int]] = {}
        for fingerprint in self._candidates:
            for loss_id in self._losses[fingerprint]:
                candidates_by_loss.setdefault(loss_id, set()).add(fingerprint)
        necessary = {
            fingerprint
            for fingerprint in self._candidates
            if any(
                len(candidates_by_loss[loss_id]) == 1
                for loss_id in self._losses[fingerprint]
            )
        }
        coincidental = {
            fingerprint
            for fingerprint in self._candidates - necessary
            if all(
                candidates_by_loss[loss_id] & necessary
                for loss_id in self._losses[fingerprint]
            )
        }
        quarantined = frozenset(self._candidates - coincidental)
        exclusive_counts = {
            fingerprint: self._count_exclusive_losses(
                fingerprint, candidates_by_loss, quarantined
            )
            for fingerprint in quarantined
        }
        return Attribution(
            quarantined,
            _find_explained_losses(
                candidates_by_loss, exclusive_counts, self._quarantine_losses
            ),
            _find_explained_losses(
                candidates_by_loss, exclusive_counts, self._quarantine_losses + 1
            ),
        )

    def _count_exclusive_losses(
        self,
        fingerprint: int,
        candidates_by_loss: collections.abc.Mapping[records.LossId, set[int]],
        quarantined: frozenset[int],
    ) -> int:
        """Counts the losses shared with no quarantined request that has other losses.

        A request that shares a loss with such a request may be quarantined by
        coincidence. Its other losses must then not clear the requests that also ran
        on those endpoints.
        """
        losses = self._losses[fingerprint]
        return sum(
            all(
                self._losses[other] == losses
                for other in candidates_by_loss[loss_id] & quarantined
            )
            for loss_id in losses
        )

    def _set(self, fingerprint: int, losses: frozenset[records.LossId]) -> None:
        if losses:
            self._losses[fingerprint] = losses
        else:
            self._losses.pop(fingerprint, None)
        if len(losses) >= self._quarantine_losses:
            self._candidates.add(fingerprint)
        else:
            self._candidates.discard(fingerprint)


def _find_explained_losses(
    candidates_by_loss: collections.abc.Mapping[records.LossId, set[int]],
    exclusive_counts: collections.abc.Mapping[int, int],
    min_count: int,
) -> frozenset[records.LossId]:
    """Returns the losses of requests with at least `min_count` exclusive losses."""
    return frozenset(
        loss_id
        for loss_id, fingerprints in candidates_by_loss.items()
        if any(
            exclusive_counts.get(fingerprint, 0) >= min_count
            for fingerprint in fingerprints
        )
    )
