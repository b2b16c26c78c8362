"""Tells which requests caused the losses of endpoints, from who ran where.

A request with losses on enough distinct incarnations is a candidate. A candidate is
needed when some loss has no other candidate. One that is not needed, and whose every
loss is shared with a needed one, ran there by chance; it stays a suspect. Candidates
that cannot be told apart are all quarantined, as telling them apart would cost a
further endpoint.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy.quarantine import records

# So many instances lost at nearly the same time have a cause of their own, such as the
# loss of a rack.
BURST_INSTANCES = 4
BURST_WINDOW_S = 5.0


def find_bursts(
    lost_at: collections.abc.Mapping[records.LossId, float],
) -> frozenset[records.LossId]:
    """Finds the losses that belong to a failure of many instances at once.

    Args:
        lost_at: Time of each loss, in seconds of one clock.
    """
    ordered = sorted(lost_at, key=lambda loss_id: (lost_at[loss_id], loss_id))
    found: set[records.LossId] = set()
    first = 0
    for last, loss_id in enumerate(ordered):
        while lost_at[loss_id] - lost_at[ordered[first]] > BURST_WINDOW_S:
            first += 1
        together = ordered[first : last + 1]
        if len({member.instance for member in together}) >= BURST_INSTANCES:
            found.update(together)
    return frozenset(found)


@dataclasses.dataclass(frozen=True, slots=True)
class Attribution:
    """What the known losses say.

    Attributes:
        quarantined: Fingerprints to refuse.
        explained: Losses that a convicted request probably caused; they are kept
            longest.
        certain: Those of them that others may be freed of: further losses convict the
            request without it, so that it is not there by chance.
    """

    quarantined: frozenset[int]
    explained: frozenset[records.LossId]
    certain: frozenset[records.LossId]


class LossAttributor:
    """Losses that each fingerprint is not cleared of."""

    def __init__(self, quarantine_losses: int) -> None:
        self._quarantine_losses = quarantine_losses
        self._losses: dict[int, frozenset[records.LossId]] = {}
        self._candidates: set[int] = set()

    def get_losses(self, fingerprint: int) -> frozenset[records.LossId]:
        """Returns the losses that a fingerprint is charged with."""
        return self._losses.get(fingerprint, frozenset())

    def is_candidate(self, fingerprint: int) -> bool:
        """Tells whether a fingerprint has enough losses to be convicted."""
        return fingerprint in self._candidates

    def add_losses(self, fingerprint: int, losses: frozenset[records.LossId]) -> None:
        """Adds losses to a fingerprint."""
        known = self._losses.get(fingerprint)
        self._set(fingerprint, losses if known is None else known | losses)

    def remove_losses(
        self, fingerprint: int, losses: frozenset[records.LossId]
    ) -> None:
        """Takes losses from a fingerprint."""
        self._set(fingerprint, self.get_losses(fingerprint) - losses)

    def attribute(self) -> Attribution:
        """Tells which candidates to refuse, from the charges alone."""
        run_by_loss: dict[records.LossId, set[int]] = {}
        for fingerprint in self._candidates:
            for loss_id in self._losses[fingerprint]:
                run_by_loss.setdefault(loss_id, set()).add(fingerprint)
        needed = {
            fingerprint
            for fingerprint in self._candidates
            if any(
                len(run_by_loss[loss_id]) == 1 for loss_id in self._losses[fingerprint]
            )
        }
        by_chance = {
            fingerprint
            for fingerprint in self._candidates - needed
            if all(
                run_by_loss[loss_id] & needed for loss_id in self._losses[fingerprint]
            )
        }
        quarantined = frozenset(self._candidates - by_chance)
        counts = {
            fingerprint: self._count_own_losses(fingerprint, run_by_loss, quarantined)
            for fingerprint in quarantined
        }
        return Attribution(
            quarantined,
            _find_losses(run_by_loss, counts, self._quarantine_losses),
            _find_losses(run_by_loss, counts, self._quarantine_losses + 1),
        )

    def _count_own_losses(
        self,
        fingerprint: int,
        run_by_loss: collections.abc.Mapping[records.LossId, set[int]],
        quarantined: frozenset[int],
    ) -> int:
        """Counts the losses that no convicted request with other losses shares.

        One that shares a loss may be convicted by chance; then what else ran on its
        other losses must not be taken for innocent.
        """
        own = self._losses[fingerprint]
        return sum(
            all(
                self._losses[other] == own
                for other in run_by_loss[loss_id] & quarantined
            )
            for loss_id in own
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


def _find_losses(
    run_by_loss: collections.abc.Mapping[records.LossId, set[int]],
    counts: collections.abc.Mapping[int, int],
    needed: int,
) -> frozenset[records.LossId]:
    """Returns the losses where a request with so many losses of its own ran."""
    return frozenset(
        loss_id
        for loss_id, fingerprints in run_by_loss.items()
        if any(counts.get(fingerprint, 0) >= needed for fingerprint in fingerprints)
    )
