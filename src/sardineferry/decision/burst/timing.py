"""Time bounds that prevent two runs of a task at the same time.

A caller that loses its entry submits its job again, to any entry, after
``RESUBMIT_DELAY_MS``. By then every run that the lost entry ordered must have
ended:

    SILENCE_LIMIT_MS + tick + LEASE_MS / slowest clock + kill < RESUBMIT_DELAY_MS
           400       +  20  +      780 / 0.98          +  50  =  1,266

An agent stops a run that its entry has neither ordered nor named as wanted, in an echo
of a timestamp, for ``SILENCE_LIMIT_MS``. From then on it extends no lease until the
worker has stopped the run, so the sum also holds if the agent is late or lost, or its
stop gets no answer.
"""

from __future__ import annotations

import math

__all__ = [
    "BUSY_HEARTBEAT_INTERVAL_MS",
    "ECHO_INTERVAL_MS",
    "FREQUENT_UPDATES_MS",
    "FREQUENT_UPDATES_RENEWAL_MS",
    "IDLE_ECHO_INTERVAL_MS",
    "IDLE_HEARTBEAT_INTERVAL_MS",
    "IDLE_SILENCE_LIMIT_MS",
    "LASTING_RUN_MS",
    "LEASE_ENDED_AFTER_MS",
    "LEASE_MS",
    "LEASE_RENEWAL_MS",
    "LONGEST_LEASE_ENDED_AFTER_MS",
    "MAX_CLOCK_SLOWNESS",
    "MAX_KILL_MS",
    "MAX_LEASE_MS",
    "MAX_TICK_DELAY_MS",
    "ORDER_TTL_MS",
    "OTHER_RUNS_KEPT_MS",
    "PAUSE_THRESHOLD_MS",
    "RESUBMIT_DELAY_MS",
    "RUNS_ENDED_AFTER_MS",
    "SHORT_RUN_REPORT_DELAY_MS",
    "SILENCE_LIMIT_MS",
]

# Set by the platform: callers submit a job again after this time.
RESUBMIT_DELAY_MS = 1_300
# Guaranteed by the platform: a worker's steady clock is slow by at most this
# share, and the worker kills a run within this time.
MAX_CLOCK_SLOWNESS = 0.02
MAX_KILL_MS = 50
# Set by the platform: a longer lease is shortened to this.
MAX_LEASE_MS = 1_000

# Timed actions are taken at most this late.
MAX_TICK_DELAY_MS = 20
# An entry counts as lost when the timestamp that it last echoed is older than this,
# about a third of RESUBMIT_DELAY_MS.
SILENCE_LIMIT_MS = 400
# About what RESUBMIT_DELAY_MS leaves for the lease, see the sum above.
LEASE_MS = 780
# Three renewals fit into a lease, so that two may be lost.
LEASE_RENEWAL_MS = LEASE_MS // 3
# Four heartbeats fit into SILENCE_LIMIT_MS, so that three may be lost.
BUSY_HEARTBEAT_INTERVAL_MS = SILENCE_LIMIT_MS // 4
# On a link without runs, the loss of the other end may be detected later.
IDLE_HEARTBEAT_INTERVAL_MS = 500
# A link is dropped when nothing was received on it for this long.
IDLE_SILENCE_LIMIT_MS = 3 * IDLE_HEARTBEAT_INTERVAL_MS
# Least time between two echoes of an agent's timestamps by an entry, when they come
# with capacity updates. Updates replace heartbeats, so it is shorter than the
# heartbeat interval: otherwise there could be an interval without an echo.
ECHO_INTERVAL_MS = BUSY_HEARTBEAT_INTERVAL_MS * 3 // 5
IDLE_ECHO_INTERVAL_MS = IDLE_HEARTBEAT_INTERVAL_MS * 4 // 5
# Two ticks that are further apart mean that this process was paused. Other
# processes do not count as silent then, as their messages have not been read yet.
PAUSE_THRESHOLD_MS = IDLE_HEARTBEAT_INTERVAL_MS
# An agent sends an entry frequent capacity updates for this long after an order or
# a request for them. Runs last about as long.
FREQUENT_UPDATES_MS = 300
# An entry with waiting jobs requests updates again before that time is over.
FREQUENT_UPDATES_RENEWAL_MS = FREQUENT_UPDATES_MS * 2 // 3
# An agent tells other entries at once of a run that should last this long, and of any
# other once it has lasted this long. Most shorter runs are over before a copy of their
# request can arrive.
LASTING_RUN_MS = 200
# The ends of shorter runs are reported this late, so that most travel with other
# messages. It is less than the time before a copy.
SHORT_RUN_REPORT_DELAY_MS = RESUBMIT_DELAY_MS // 2
# An order also shows that its entry is alive. It expires when the entry would
# count as lost if nothing followed.
ORDER_TTL_MS = SILENCE_LIMIT_MS
# A worker has ended all runs this long after their lease was last extended.
LEASE_ENDED_AFTER_MS = math.ceil(LEASE_MS / (1 - MAX_CLOCK_SLOWNESS)) + MAX_KILL_MS
# The same for a worker that has not answered since: it may have started again, and a
# lease by its earlier clock, which is higher, is as long as the platform allows.
LONGEST_LEASE_ENDED_AFTER_MS = (
    math.ceil(MAX_LEASE_MS / (1 - MAX_CLOCK_SLOWNESS)) + MAX_KILL_MS
)
# This long after an agent's last timestamp arrived, or after the last order to it was
# sent if that is later, all runs that were ordered there have ended.
RUNS_ENDED_AFTER_MS = SILENCE_LIMIT_MS + MAX_TICK_DELAY_MS + LEASE_ENDED_AFTER_MS
# An entry assumes for this long after an agent's last message that the runs of other
# entries that it has reported go on. If the agent is lost, these have then ended, and
# those that their entries have ordered elsewhere have been reported.
OTHER_RUNS_KEPT_MS = RUNS_ENDED_AFTER_MS + 2 * LASTING_RUN_MS
