"""Tracks lost endpoints and the requests suspected of having caused the losses."""

from __future__ import annotations

import collections
import math

from chicoryweir_policy.quarantine import attribution
from chicoryweir_policy.quarantine import records

RETENTION_S = 12 * 3600.0
GOSSIP_WAIT_S = 0.25
MAX_LOSSES = 128
MAX_CLEARANCES = 4096
RECENT_FINISH_S = 600.0
MAX_RECENT_FINISHES = 1024
MAX_FINGERPRINTS_PER_LOSS = 256


class SuspicionTracker:
    """Tracks the losses known to an entry or agent; updates make trackers converge."""

    def __init__(self, quarantine_losses: int = 2) -> None:
        self._quarantine_losses = quarantine_losses
        self._attributor = attribution.LossAttributor(quarantine_losses)
        self._losses: dict[records.LossId, frozenset[int]] = {}
        self._lost_at: dict[records.LossId, float] = {}
        self._learned_at: dict[records.LossId, float] = {}
        self._cleared: dict[int, frozenset[records.LossId]] = {}
        self._positions: dict[records.LossId | int, int] = {}
        self._cursor = 0
        self._attribution: attribution.Attribution | None = None
        self._bursts: frozenset[records.LossId] = frozenset()
        self._expires_at = math.inf
        self._finished_at: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def record_loss(
        self,
        instance: str,
        incarnation: str,
        fingerprints: frozenset[int],
        now: float,
    ) -> None:
        """Records the loss of an endpoint while these requests ran on it.

        Requests that were recently answered in full here are cleared immediately.
        """
        loss_id = records.LossId(instance, incarnation)
        self._add_loss(records.Loss(loss_id, fingerprints), now)
        for fingerprint in sorted(fingerprints):
            finished_at = self._finished_at.get(fingerprint, -math.inf)
            if now - finished_at <= RECENT_FINISH_S:
                loss_ids = frozenset((loss_id,))
                self._add_clearance(records.Clearance(fingerprint, loss_ids))

    def record_finished(self, fingerprint: int, now: float) -> None:
        """Records a request answered in full, which clears it of known losses."""
        self._expire(now)
        self._finished_at[fingerprint] = now
        self._finished_at.move_to_end(fingerprint)
        if len(self._finished_at) > MAX_RECENT_FINISHES:
            self._finished_at.popitem(last=False)
        losses = self._attributor.get_losses(fingerprint)
        if losses:
            self._add_clearance(records.Clearance(fingerprint, losses))

    def get_verdict(self, fingerprint: int, now: float) -> records.Verdict:
        """Returns whether a request may run and under which restrictions."""
        self._expire(now)
        losses = self._attributor.get_losses(fingerprint)
        if not losses:
            return records.Unsuspected()
        attributed = self._get_attribution()
        if fingerprint in attributed.quarantined:
            times = sorted(self._lost_at[loss_id] for loss_id in losses)
            expires_at = times[-self._quarantine_losses] + RETENTION_S
            return records.Quarantined(tuple(sorted(losses)), expires_at - now)
        is_coincidental = self._attributor.is_candidate(fingerprint)
        if losses <= attributed.certain and not is_coincidental:
            return records.Unsuspected()
        if losses <= self._bursts and not is_coincidental:
            return records.Unsuspected()
        learned_at = max(self._learned_at[loss_id] for loss_id in losses)
        lost_on = frozenset(loss_id.instance for loss_id in losses)
        return records.Suspected(lost_on, learned_at + GOSSIP_WAIT_S)

    def list_lost_instances(self, fingerprint: int) -> frozenset[str]:
        """Returns the instances lost while a request ran, including common failures.

        Losses explained by a quarantined request are left out.
        """
        losses = self._attributor.get_losses(fingerprint)
        unexplained = losses - self._get_attribution().explained
        return frozenset(loss_id.instance for loss_id in unexplained)

    @property
    def cursor(self) -> int:
        """Log position, which increases with each new record."""
        return self._cursor

    def export_update(self, now: float, after: int = 0) -> records.News:
        """Returns the records that were added after a log position.

        Args:
            now: Present time, monotonic seconds.
            after: Cursor of the previous update for the same peer; 0 for all records.
        """
        self._expire(now)
        if after >= self._cursor:
            return records.News(self._cursor)
        losses = []
        clearances = []
        for key, position in self._positions.items():
            if position <= after:
                continue
            if isinstance(key, int):
                clearances.append(records.Clearance(key, self._cleared[key]))
            else:
                age_s = now - self._lost_at[key]
                losses.append(records.Loss(key, self._losses[key], age_s))
        return records.News(self._cursor, tuple(losses), tuple(clearances))

    def merge(self, update: records.News, now: float) -> bool:
        """Merges an update from another tracker; returns whether any record was new."""
        before = self._cursor
        for loss in update.losses:
            self._add_loss(loss, now)
        for clearance in update.clearances:
            self._add_clearance(clearance)
        return self._cursor > before

    def _add_loss(self, loss: records.Loss, now: float) -> None:
        self._expire(now)
        lost_at = now - loss.age_s
        if now >= lost_at + RETENTION_S:
            return
        known = self._losses.get(loss.loss_id, frozenset())
        merged = known | loss.fingerprints
        if len(merged) > MAX_FINGERPRINTS_PER_LOSS:
            merged = frozenset(sorted(merged)[:MAX_FINGERPRINTS_PER_LOSS])
        self._lost_at[loss.loss_id] = min(
            lost_at, self._lost_at.get(loss.loss_id, lost_at)
        )
        self._expires_at = min(self._expires_at, lost_at + RETENTION_S)
        self._learned_at.setdefault(loss.loss_id, now)
        if loss.loss_id in self._losses and merged == known:
            return
        self._losses[loss.loss_id] = merged
        loss_ids = frozenset((loss.loss_id,))
        for fingerprint in known - merged:
            self._attributor.remove_losses(fingerprint, loss_ids)
        for fingerprint in merged - known:
            if loss.loss_id not in self._cleared.get(fingerprint, ()):
                self._attributor.add_losses(fingerprint, loss_ids)
        self._log_change(loss.loss_id)
        if len(self._losses) > MAX_LOSSES:
            self._remove_loss(self._select_loss_to_evict())

    def _add_clearance(self, clearance: records.Clearance) -> None:
        known = self._cleared.get(clearance.fingerprint, frozenset())
        merged = known | clearance.losses
        if len(merged) > MAX_LOSSES:
            merged = frozenset(sorted(merged)[-MAX_LOSSES:])
        if merged == known:
            return
        self._cleared[clearance.fingerprint] = merged
        self._attributor.remove_losses(clearance.fingerprint, merged)
        self._log_change(clearance.fingerprint)
        if len(self._cleared) > MAX_CLEARANCES:
            oldest = next(iter(self._cleared))
            del self._cleared[oldest], self._positions[oldest]

    def _log_change(self, key: records.LossId | int) -> None:
        self._cursor += 1
        self._positions.pop(key, None)
        self._positions[key] = self._cursor
        self._attribution = None

    def _get_attribution(self) -> attribution.Attribution:
        if self._attribution is None:
            self._attribution = self._attributor.attribute()
            self._bursts = attribution.find_bursts(self._lost_at)
        return self._attribution

    def _select_loss_to_evict(self) -> records.LossId:
        explained = self._get_attribution().explained
        return min(
            self._losses,
            key=lambda loss_id: (
                loss_id in explained,
                self._lost_at[loss_id],
                loss_id,
            ),
        )

    def _expire(self, now: float) -> None:
        if now < self._expires_at:
            return
        for loss_id, lost_at in list(self._lost_at.items()):
            if now >= lost_at + RETENTION_S:
                self._remove_loss(loss_id)
        oldest = min(self._lost_at.values(), default=math.inf)
        self._expires_at = oldest + RETENTION_S

    def _remove_loss(self, loss_id: records.LossId) -> None:
        fingerprints = self._losses.pop(loss_id)
        del self._lost_at[loss_id], self._learned_at[loss_id], self._positions[loss_id]
        for fingerprint in fingerprints:
            self._attributor.remove_losses(fingerprint, frozenset((loss_id,)))
            remaining = self._cleared.get(fingerprint, frozenset()) - {loss_id}
            if remaining:
                self._cleared[fingerprint] = remaining
            elif fingerprint in self._cleared:
                del self._cleared[fingerprint], self._positions[fingerprint]
        self._attribution = None
