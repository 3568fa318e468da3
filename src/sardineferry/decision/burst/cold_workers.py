"""What an entry expects of a worker that is slow for some time after its start."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineferry.decision.burst.entry_state import AgentView
    from sardineferry.decision.burst.slowdown import WorkerSlowdowns

__all__ = ["expected_slowdown"]

# A cold worker counts as slower by this factor than what is known of it. It is low
# enough for most tasks to meet their goals, so that cold workers are used when the
# others are busy; what they learn then replaces it.
COLD_FACTOR = 1.25


def expected_slowdown(
    slowdowns: WorkerSlowdowns, view: AgentView, now_ms: int
) -> float:
    """Return a worker's slowdown, raised while it is cold and has few runs behind it.

    The agent learns the slowdown of a cold worker anew, so with each run the reported
    one says more about the cold worker.
    """
    slowdown = slowdowns.slowdown(view.name, view.kind())
    if now_ms >= view.cold_until_ms:
        return slowdown
    return slowdown * math.pow(COLD_FACTOR, slowdowns.prior_weight(view.name))
