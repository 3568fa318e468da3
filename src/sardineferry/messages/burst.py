"""Messages of burst jobs, between entries and the agents of workers.

Points in time are on the agent's monotonic clock, unless stated otherwise. An
agent puts timestamps into heartbeats and capacity updates, and an entry echoes the
newest one. From it the agent derives the age of an order or heartbeat, with the time
that it spent on the network.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import get_args

from sardineferry.messages.codec import Codec

__all__ = [
    "CODEC",
    "ENDED_DONE",
    "ENDED_FAILED",
    "ENDED_LOST",
    "ENDED_REFUSED",
    "REASON_STALLED",
    "REASON_WORKER_REPLACED",
    "REASON_WORKER_RESTARTED",
    "REASON_WORKER_SILENT",
    "AgentBeat",
    "AgentRuns",
    "BurstMessage",
    "ConfigOffer",
    "ConfigPart",
    "ConfigRequest",
    "EntryBacklog",
    "EntryBeat",
    "EntryEndpoint",
    "EntryLeft",
    "EntryWelcome",
    "Evacuations",
    "HeldRuns",
    "JobCancelled",
    "JobTasks",
    "OtherRuns",
    "PriorityWork",
    "RelayedRuns",
    "Resources",
    "RunEnded",
    "RunRef",
    "StartRuns",
    "StopRuns",
    "WatchRoom",
    "WorkerAnnounce",
    "WorkerProfile",
    "WorkerRoom",
    "parse_task",
]

ENDED_DONE = "done"
ENDED_FAILED = "failed"
# The run ended without an outcome: it was stopped, its lease lapsed, or its
# worker was lost.
ENDED_LOST = "lost"
# The run was never started.
ENDED_REFUSED = "refused"
# The reason of a lost run that its agent stopped because it made no progress.
REASON_STALLED = "stalled"
REASON_WORKER_REPLACED = "worker replaced"
REASON_WORKER_RESTARTED = "worker restarted"
REASON_WORKER_SILENT = "worker silent"


class Resources(NamedTuple):
    """An amount of resources; ``cpu`` is in thousandths of a core."""

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: Resources) -> Resources:
        """Return the sum."""
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference, which may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> Resources:
        """Return the resources for ``count`` tasks that each need these."""
        return Resources(
            self.cpu * count, self.memory_mb * count, self.accelerators * count
        )

    def covers(self, need: Resources) -> bool:
        """Return whether the need fits into these resources."""
        return (
            need.cpu <= self.cpu
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )


class RunRef(NamedTuple):
    """Identifies a run of a task; ``attempt`` rises with each start."""

    task: str
    attempt: int


def parse_task(task: str) -> tuple[str, int]:
    """Return the id of a task's job, and the task's index."""
    job_id, _, place = task.partition(".")
    return job_id, int(place.rpartition(".")[2])


class WorkerAnnounce(NamedTuple):
    """Agent to entry, first on a link: who the agent is.

    ``incarnation`` changes with each restart of the agent.
    """

    agent: str
    incarnation: str
    data_centre: str


class EntryEndpoint(NamedTuple):
    """An entry and the address that agents link to.

    ``incarnation`` changes with each restart. All but the address are empty if
    only the address is known.
    """

    name: str
    address: str
    data_centre: str
    incarnation: str


class EntryWelcome(NamedTuple):
    """Entry to agent: answers an announcement.

    ``profile`` is the last profile of the agent's worker that the entry
    received, so that a restarted agent need not wait for the worker's next
    heartbeat. ``entries`` are the entries known to this one.
    """

    entry: str
    incarnation: str
    data_centre: str
    profile: WorkerProfile | None
    entries: tuple[EntryEndpoint, ...]


class WorkerProfile(NamedTuple):
    """Agent to entry: describes its worker; sent again when that changes.

    ``born_ms`` is when the worker process started, in Unix time, or 0 if
    unknown; it identifies that process. ``draining`` stays true until the
    worker restarts. ``cold_left_ms`` is how long the worker stays slow after its
    start, counted from when the message was sent.
    """

    service: str
    total: Resources
    labels: tuple[str, ...]
    born_ms: int
    draining: bool
    cold_left_ms: int = 0


class PriorityWork(NamedTuple):
    """Work that waits at an entry, in thousandths of a core times ms, by priority."""

    priority: int
    work: int


class EntryBacklog(NamedTuple):
    """What waits at an entry, as it stated ``age_ms`` before the message was sent."""

    entry: str
    age_ms: int
    waiting: tuple[PriorityWork, ...]


class WorkerRoom(NamedTuple):
    """Agent to entry: the free resources of its worker at ``sent_at_ms``.

    ``last_order`` is the number of the newest order of this entry that
    ``free`` accounts for. ``speed`` is the mean logarithm of the worker's
    slowdown (run time over ``StartRuns.estimate_ms``), so that a higher value means
    a slower worker. It is learned from ``speed_runs`` runs of all entries.
    ``backlogs`` names what waits at other entries that the agent is linked to.
    """

    sent_at_ms: int
    free: Resources
    accepting: bool
    last_order: int
    speed: float
    speed_runs: int
    backlogs: tuple[EntryBacklog, ...] = ()


class WatchRoom(NamedTuple):
    """Entry to agent: report changes of free resources quickly, as jobs wait.

    This applies for a limited time.
    """


class AgentBeat(NamedTuple):
    """Agent to entry: a heartbeat, whose timestamp the entry echoes."""

    sent_at_ms: int


class EntryBeat(NamedTuple):
    """Entry to agent: a heartbeat that echoes the agent's newest timestamp.

    ``wanted_orders`` are the numbers of the entry's orders whose runs may go on. The
    agent stops the entry's other runs, so that none goes on because a ``StopRuns``
    was lost with its link. ``waiting`` states the entry's waiting work by priority.
    """

    echo_ms: int
    wanted_orders: tuple[int, ...]
    waiting: tuple[PriorityWork, ...] = ()


class StartRuns(NamedTuple):
    """Entry to agent: start runs of one job that need the same resources.

    The agent refuses the order after ``expires_ms``. ``estimate_ms`` is the
    expected run time of one task on a worker whose slowdown is 1. ``movable`` is
    true if none of the tasks has been stopped before for being slow. ``is_repeat`` is
    true if the job may have been submitted before, or a task was ordered before: then
    other entries are told at once, as copies of the request may be about.
    """

    order: int
    expires_ms: int
    runs: tuple[RunRef, ...]
    spec: str
    need: Resources
    estimate_ms: int
    movable: bool
    is_repeat: bool = False


class StopRuns(NamedTuple):
    """Entry to agent: stop these runs and report their ends.

    It only saves time: the next ``EntryBeat`` has the same effect.
    """

    runs: tuple[RunRef, ...]


class RunEnded(NamedTuple):
    """Agent to entry: a run ended.

    ``how`` is one of the ``ENDED_`` constants. ``run_ms`` is the time from the
    start to the end of the run, or 0 if it never started.
    """

    run: RunRef
    how: str
    run_ms: int
    reason: str


class HeldRuns(NamedTuple):
    """Agent to entry, after a link opened: all runs that it has for the entry.

    A run that is neither listed here nor reported as ended no longer exists.
    """

    runs: tuple[RunRef, ...]
    last_order: int


class JobTasks(NamedTuple):
    """Tasks of one job, by index, whose runs were ordered by one entry."""

    job_id: str
    entry: str
    tasks: tuple[int, ...]


class OtherRuns(NamedTuple):
    """Agent to entry: runs at its worker that other entries have ordered.

    ``running`` are new runs that last. ``done`` and ``lost`` are runs that have ended
    with or without that outcome, also short ones. The first report on a link
    ``is_complete``: it lists all that go on. It is urgent if copies of the requests of
    the running jobs may be about.
    """

    running: tuple[JobTasks, ...]
    done: tuple[JobTasks, ...] = ()
    lost: tuple[JobTasks, ...] = ()
    is_complete: bool = False
    is_urgent: bool = False


class AgentRuns(NamedTuple):
    """Runs at the worker of one process of an agent."""

    agent: str
    incarnation: str
    jobs: tuple[JobTasks, ...]


class RelayedRuns(NamedTuple):
    """Entry to agent, passed on to the other entries of their data centre.

    It tells what the entry knows of agents in other data centres, which are not linked
    to those entries: runs that began or ended there, tasks that are done, jobs whose
    runs were lost, and jobs that were cancelled. If it ``is_complete``, it lists all
    runs that go on. ``sequence`` rises with each message of this process. An agent that
    repeats it for an entry that has just linked sets ``age_ms``, the time since it
    arrived.
    """

    entry: str
    incarnation: str
    sequence: int
    running: tuple[AgentRuns, ...] = ()
    ended: tuple[AgentRuns, ...] = ()
    done: tuple[JobTasks, ...] = ()
    lost: tuple[str, ...] = ()
    cancelled: tuple[str, ...] = ()
    is_complete: bool = False
    age_ms: int = 0


class JobCancelled(NamedTuple):
    """In both directions: a caller has cancelled this job.

    An agent passes it on to its other entries.
    """

    job_id: str


class EntryLeft(NamedTuple):
    """Entry to agent: the entry stops; its address need not be dialled soon."""

    entry: str


class Evacuations(NamedTuple):
    """In both directions: the data centres where no run may be started.

    ``position`` is the offset at which the list was read from the store; a list with a
    higher one replaces it.
    """

    position: int
    data_centres: tuple[str, ...]


class ConfigOffer(NamedTuple):
    """In both directions: a version of the configuration that the sender can send.

    ``size`` is the length of its text in bytes.
    """

    version: int
    size: int


class ConfigRequest(NamedTuple):
    """In both directions: asks for a part of a configuration, from ``offset`` on.

    It also confirms the part before. At the end of the text it asks for nothing.
    """

    version: int
    offset: int


class ConfigPart(NamedTuple):
    """In both directions: a part of a configuration's text, from ``offset`` on.

    The whole text, as the operator wrote it, has ``size`` bytes.
    """

    version: int
    size: int
    offset: int
    text: bytes


BurstMessage = (
    AgentBeat
    | ConfigOffer
    | ConfigPart
    | ConfigRequest
    | EntryBeat
    | EntryLeft
    | EntryWelcome
    | Evacuations
    | HeldRuns
    | JobCancelled
    | OtherRuns
    | RelayedRuns
    | RunEnded
    | StartRuns
    | StopRuns
    | WatchRoom
    | WorkerAnnounce
    | WorkerProfile
    | WorkerRoom
)


def link_name(message: object) -> str:
    """Return the name for a link whose first message this is, or ``""``."""
    return message.agent if isinstance(message, WorkerAnnounce) else ""


CODEC = Codec(get_args(BurstMessage), link_name)
