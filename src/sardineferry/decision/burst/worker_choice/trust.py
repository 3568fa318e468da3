"""Limits the tasks at workers that are lost again and again.

A worker that goes down and up every second is accepted again after each loss, as its
new incarnation reports free capacity. The runs that it then gets are lost, and their
jobs are late. What is known here is kept beyond the worker's incarnation.
"""

from __future__ import annotations

from sardineferry.decision.burst import timing

__all__ = ["WorkerTrust"]

# A worker is distrusted after this many losses within the time below. A single crash
# says little about the seconds after it.
LOSSES_TO_DISTRUST = 2
# Several times the period of a worker that goes down and up every second.
LOSS_MEMORY_MS = 10_000
# The lost runs of an incarnation and the start of the next one are reported within this
# time of each other if both are noticed at once.
SAME_LOSS_MS = timing.SILENCE_LIMIT_MS
# A distrusted worker may have this many tasks of an entry at once, and one more after
# each run that ended well, until it is trusted again.
FIRST_TASKS = 1
TRUSTED_TASKS = 8


class WorkerTrust:
    """The losses of a worker, and how many tasks it may have meanwhile."""

    __slots__ = ("last_loss_ms", "loss_times_ms", "lost_born_ms", "tasks")

    def __init__(self) -> None:
        """Start as trusted."""
        # When the latest losses were noticed.
        self.loss_times_ms: list[int] = []
        # When a loss was last reported, and the start of the incarnation.
        self.last_loss_ms: int | None = None
        self.lost_born_ms = 0
        self.tasks = FIRST_TASKS

    def record_loss(self, born_ms: int, now_ms: int) -> bool:
        """Record that an incarnation was lost; return whether it is distrusted now.

        Several reports of one loss count once.
        """
        last_ms, self.last_loss_ms = self.last_loss_ms, now_ms
        is_known = born_ms != 0 and born_ms == self.lost_born_ms
        if is_known or (last_ms is not None and now_ms - last_ms <= SAME_LOSS_MS):
            return False
        self.lost_born_ms = born_ms
        kept = self.loss_times_ms[-(LOSSES_TO_DISTRUST - 1) :]
        self.loss_times_ms = [*kept, now_ms]
        self.tasks = FIRST_TASKS
        return self.is_distrusted(now_ms)

    def record_success(self, now_ms: int) -> None:
        """Record that a run ended well; a distrusted worker may then have more."""
        if self.is_distrusted(now_ms):
            self.tasks += 1

    def is_distrusted(self, now_ms: int) -> bool:
        """Return whether the worker was lost several times and may have few tasks."""
        return (
            len(self.loss_times_ms) >= LOSSES_TO_DISTRUST
            and self.tasks < TRUSTED_TASKS
            and now_ms - self.loss_times_ms[0] <= LOSS_MEMORY_MS
        )
