"""Time bounds that keep two runs of one task apart.

A caller whose entry is lost submits its job again, to any entry, after
``RESUBMIT_MS``. By then every run that the lost entry started must be gone:

    SILENCE_MS + tick + LEASE_MS / slowest clock + kill  <  RESUBMIT_MS
       400     +  20  +     780 / 0.98           + 50    =  1,266

An agent stops the runs of an entry that it has not heard for ``SILENCE_MS``;
the worker ends the runs of an agent that is lost too when its lease lapses.
"""

from __future__ import annotations

__all__ = [
    "BUSY_BEAT_MS",
    "CLOCK_SLOWNESS",
    "ECHO_GAP_MS",
    "GONE_MS",
    "IDLE_BEAT_MS",
    "IDLE_ECHO_GAP_MS",
    "IDLE_SILENCE_MS",
    "KILL_MS",
    "LEASE_MS",
    "ORDER_TTL_MS",
    "PAUSE_MS",
    "RENEW_MS",
    "RESUBMIT_MS",
    "SILENCE_MS",
    "TICK_MS",
    "WATCH_MS",
    "WATCH_RENEW_MS",
]

# The platform's bound after which a caller submits a job again.
RESUBMIT_MS = 1_300
# The platform's bounds on a worker: the slowness of its steady clock and the
# time that it takes to kill a run.
CLOCK_SLOWNESS = 0.02
KILL_MS = 50

TICK_MS = 20
# An entry counts as lost after this silence; a third of the resubmit bound.
SILENCE_MS = 400
# What the resubmit bound leaves for the lease; see the sum above.
LEASE_MS = 780
# Three renewals fit into a lease, so that two may be lost.
RENEW_MS = LEASE_MS // 3
# Four beats fit into the silence bound, so that three may be lost.
BUSY_BEAT_MS = SILENCE_MS // 4
# Without work on a link a loss may be noticed later.
IDLE_BEAT_MS = 500
IDLE_SILENCE_MS = 3 * IDLE_BEAT_MS
# An entry echoes the stamps of pushes of room as well, less often than beats
# come, so that each beat's worth of pushes has its echo.
ECHO_GAP_MS = BUSY_BEAT_MS * 3 // 5
IDLE_ECHO_GAP_MS = IDLE_BEAT_MS * 4 // 5
# Between two ticks only a pause of our own process takes this long. Others were
# not silent meanwhile: what they sent has yet to be read.
PAUSE_MS = IDLE_BEAT_MS
# An agent pushes changes of room to an entry for this long after an order of
# its or a request for it; runs last about as long.
WATCH_MS = 300
# An entry with jobs waiting asks again before that is over.
WATCH_RENEW_MS = WATCH_MS * 2 // 3
# An order is void once the sign of life that it rests on would have lapsed.
ORDER_TTL_MS = SILENCE_MS
# Since the last stamp of an agent: all runs that it had then are gone.
GONE_MS = SILENCE_MS + TICK_MS + int(LEASE_MS / (1 - CLOCK_SLOWNESS)) + KILL_MS
