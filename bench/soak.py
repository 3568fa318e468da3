"""A randomised soak test: the deployed programs under injected faults.

``python -m bench.soak --first 1 --seeds 50`` runs seeds one after the other.
Faults follow each other and overlap; callers reuse their connections. What
callers and workers observe is checked against the promises in
docs/design/platform.md.

``--faults resets`` resets all connections of a machine in series and pauses programs
for moments meanwhile, and ``--faults all`` mixes these with all other faults. Tasks
that outlast a caller's wait before it submits again (``--long-tasks``) can meet
their successors. ``--faults incarnations`` crashes workers, which start again under
their id, and delays their heartbeats and answers; ``errors`` has error statuses in
answers to starts that were carried out; ``starved`` takes the processor from programs
and kills others meanwhile; ``combined`` has all these. ``crowds`` has clients that
misbehave at entries and agents, beside signals, pauses and resets. Callers that give
up early (``--impatience``) submit their job again to another entry. Some answers are
lost, so that their caller submits the job again (``--lost-answers``), and copies of
requests arrive seconds after the answer, at any entry (``--copies``). Some jobs are
cancelled at any entry while they run or wait (``--cancels``). With more than three
entries (``--entries``) some are in one data centre, and an agent is linked to one of
them.
``--keep-logs`` keeps the logs of a failed seed.
"""

from __future__ import annotations

import argparse
import http.client
import json
import random
import shutil
import sys
import threading
import time
from collections import Counter
from collections import defaultdict
from pathlib import Path
from typing import NamedTuple

from bench.deployed_fleet import HOST_NAME
from bench.deployed_fleet import PATH_PREFIX
from bench.deployed_fleet import DeployedFleet
from bench.deployed_fleet import make_burst_job
from bench.fleet import call_json
from bench.soak_crowds import find_exceeded_memory
from bench.soak_faults import FAULT_MIXES
from bench.soak_faults import HUNG_TIMEOUT_S
from bench.soak_faults import FaultInjector
from bench.soak_faults import SoakFleet
from bench.soak_faults import SoakPlan
from sardineferry.messages.burst import ENDED_LOST
from sardineferry.messages.burst import ENDED_REFUSED

__all__ = [
    "CancelRecord",
    "JobRecord",
    "SoakPlan",
    "WorkerRun",
    "collect_runs",
    "find_broken_promises",
    "find_unasked_runs",
    "overlapping_runs",
    "run_soak",
]

# Set by the platform: how long a caller waits before it submits a job again, and
# how soon after the last fault entries have to serve again.
RESUBMIT_DELAY_S = 1.3
MAX_RECOVERY_S = 12.0
# Copies of a request arrive seconds after its answer.
COPY_DELAY_S = (1.0, 4.0)
# Time after which a caller cancels its job, and how long after the acknowledgement a
# task may run. The platform sets that limit.
CANCEL_DELAY_S = (0.02, 0.6)
CANCEL_LIMIT_MS = 3_000 + 50
# Time after which a caller gives up early.
PATIENCE_S = (0.2, 1.0)
# Processor time of short tasks, and of those that may outlast the wait of a caller
# that submits again.
SHORT_TASK_MS = (10, 300)
LONG_TASK_MS = (100, 4_000)
# Statuses of submissions without an HTTP response.
NO_ANSWER = 0
HUNG = -1
# Submissions of a job before its caller gives up.
MAX_SUBMISSIONS = 6
HTTP_OK = 200
REFUSED_STATUSES = (429, 503)
# These acknowledge a cancellation.
CANCELLED_STATUSES = (200, 410)
LOST_OUTCOMES = (ENDED_LOST, ENDED_REFUSED)


class JobRecord(NamedTuple):
    """A caller's job: the status of each submission, and the final state.

    A status is that of HTTP, ``NO_ANSWER`` or ``HUNG``.
    """

    job_id: str
    tasks: int
    statuses: tuple[int, ...]
    state: str
    answered_ms: int


class CancelRecord(NamedTuple):
    """An acknowledged cancellation, in time of the machine's steady clock."""

    job_id: str
    acknowledged_ms: int


class WorkerRun(NamedTuple):
    """A run as its worker recorded it, in times of the machine's steady clock.

    ``outcome`` is "running" for a run that has not ended, and "crashed" for one that
    ended with its worker. ``listed_ms`` is when the worker first listed the end to its
    agent; 0 if it did not.
    """

    task: str
    attempt: int
    started_ms: int
    ended_ms: int
    outcome: str
    listed_ms: int = 0
    worker: int = 0


class Caller(threading.Thread):
    """Submits one job after another, and a job again if it got no answer."""

    def __init__(self, fleet: SoakFleet, number: int, plan: SoakPlan) -> None:
        """Set up a caller with a random generator of its own."""
        super().__init__(daemon=True)
        self.fleet = fleet
        self.number = number
        self.random = random.Random(f"{plan.seed} caller {number}")
        self.entries = plan.entries
        self.long_tasks = plan.long_tasks
        self.stopped = threading.Event()
        self.impatience = plan.impatience
        # The entry of the last connection; a caller that gave up avoids it.
        self.last_entry = -1
        self.gave_up = False
        self.connection: http.client.HTTPConnection | None = None
        self.address = ""
        self.records: list[JobRecord] = []
        # What the caller did, with times of the clock that logs use.
        self.log: list[str] = []
        # Draws which answers are lost and which requests are copied.
        self.copy_random = random.Random(f"{plan.seed} copies {number}")
        self.lost_answers = plan.lost_answers
        self.copied = plan.copies
        self.copies: list[LateCopy] = []
        self.cancel_random = random.Random(f"{plan.seed} cancels {number}")
        self.cancelled = plan.cancels
        self.cancellations: list[Cancellation] = []

    def run(self) -> None:
        """Submit jobs until stopped, then wait for the copies."""
        while not self.stopped.is_set():
            self.submit_job(f"{self.number:04x}{len(self.records):012x}")
        for copy in self.copies:
            copy.join()
            self.records.extend(copy.records)
            self.log.extend(copy.log)
        for cancellation in self.cancellations:
            cancellation.join()
            self.log.extend(cancellation.log)

    def submit_job(self, job_id: str) -> None:
        """Submit a job until it is answered, and record the statuses."""
        tasks = self.random.randint(1, 6)
        is_long = self.long_tasks and self.random.random() < self.long_tasks
        work_ms = self.random.randint(*(LONG_TASK_MS if is_long else SHORT_TASK_MS))
        job = make_burst_job(tasks, work_ms)
        statuses: list[int] = []
        state = ""
        while not statuses or (
            statuses[-1] == NO_ANSWER and len(statuses) < MAX_SUBMISSIONS
        ):
            if statuses:
                time.sleep(RESUBMIT_DELAY_S)
            sent_s = time.time()
            self.draw_cancellation(job_id)
            status, state = self.send_job(job_id, job)
            if status == HTTP_OK:
                self.draw_copy(job_id, tasks, job)
                status = self.draw_loss(status)
            statuses.append(status)
            self.log.append(
                f"{sent_s:.3f}-{time.time():.3f} {job_id} at {self.address}: {status}"
                f" {state}, {tasks} tasks of {work_ms} ms"
            )
        answered_ms = time.monotonic_ns() // 1_000_000
        record = JobRecord(job_id, tasks, tuple(statuses), state, answered_ms)
        self.records.append(record)
        if statuses[-1] in REFUSED_STATUSES:
            self.stopped.wait(self.random.uniform(0.05, 0.3))

    def draw_copy(self, job_id: str, tasks: int, job: dict[str, object]) -> None:
        """Let a copy of some answered requests arrive later."""
        if self.copy_random.random() >= self.copied:
            return
        address = self.fleet.entry_address(self.copy_random.randrange(self.entries))
        delay_s = self.copy_random.uniform(*COPY_DELAY_S)
        copy = LateCopy(address, delay_s, job_id, tasks, job)
        self.copies.append(copy)
        copy.start()

    def draw_cancellation(self, job_id: str) -> None:
        """Cancel some jobs while they run or wait."""
        if self.cancel_random.random() >= self.cancelled:
            return
        address = self.fleet.entry_address(self.cancel_random.randrange(self.entries))
        delay_s = self.cancel_random.uniform(*CANCEL_DELAY_S)
        cancellation = Cancellation(address, delay_s, job_id)
        self.cancellations.append(cancellation)
        cancellation.start()

    def draw_loss(self, status: int) -> int:
        """Return the status of an answer, which some callers never read."""
        if self.copy_random.random() >= self.lost_answers:
            return status
        self.close_connection()
        return NO_ANSWER

    def send_job(self, job_id: str, job: dict[str, object]) -> tuple[int, str]:
        """Send a job on the open connection, or on a new one to a random entry.

        Return the status and the job's state.
        """
        impatient = bool(self.impatience) and self.random.random() < self.impatience
        timeout_s = self.random.uniform(*PATIENCE_S) if impatient else HUNG_TIMEOUT_S
        try:
            if self.connection is None:
                index = self.choose_entry()
                self.address = self.fleet.entry_address(index)
                self.connection = http.client.HTTPConnection(
                    self.address, timeout=HUNG_TIMEOUT_S
                )
            if self.connection.sock is None:
                self.connection.connect()
            self.connection.sock.settimeout(timeout_s)
            self.connection.request(
                "POST", PATH_PREFIX + job_id, json.dumps(job), {"Host": HOST_NAME}
            )
            response = self.connection.getresponse()
            body = json.loads(response.read() or b"null") or {}
        except TimeoutError:
            self.close_connection()
            self.gave_up = impatient
            return (NO_ANSWER, "gave up") if impatient else (HUNG, "hung")
        except (OSError, http.client.HTTPException):
            self.close_connection()
            return NO_ANSWER, ""
        if response.status in (502, 504):
            return NO_ANSWER, ""
        return response.status, body.get("State", "")

    def choose_entry(self) -> int:
        """Choose an entry at random, but not the one that the caller gave up on."""
        others = [
            index
            for index in range(self.entries)
            if not (self.gave_up and index == self.last_entry)
        ]
        self.gave_up = False
        self.last_entry = self.random.choice(others or [self.last_entry])
        return self.last_entry

    def close_connection(self) -> None:
        """Close the open connection, if there is one."""
        if self.connection is not None:
            self.connection.close()
        self.connection = None


class LateCopy(threading.Thread):
    """Sends a copy of a request once, some time after its answer."""

    def __init__(
        self,
        address: str,
        delay_s: float,
        job_id: str,
        tasks: int,
        job: dict[str, object],
    ) -> None:
        """Set the copy to be sent, and to which entry."""
        super().__init__(daemon=True)
        self.address = address
        self.delay_s = delay_s
        self.job_id = job_id
        self.tasks = tasks
        self.job = job
        self.records: list[JobRecord] = []
        self.log: list[str] = []

    def run(self) -> None:
        """Send the copy after the delay, and record how it was answered.

        A refusal is not recorded: it says nothing of the request before.
        """
        time.sleep(self.delay_s)
        sent_s = time.time()
        headers = {"Host": HOST_NAME}
        path = PATH_PREFIX + self.job_id
        try:
            status, body = call_json(
                self.address, "POST", path, self.job, HUNG_TIMEOUT_S, headers
            )
            state = (body or {}).get("State", "")
        except TimeoutError:
            status, state = HUNG, "hung"
        except (OSError, http.client.HTTPException):
            status, state = NO_ANSWER, ""
        self.log.append(
            f"{sent_s:.3f}-{time.time():.3f} {self.job_id} copy at {self.address}:"
            f" {status} {state}"
        )
        if status not in REFUSED_STATUSES:
            answered_ms = time.monotonic_ns() // 1_000_000
            self.records.append(
                JobRecord(self.job_id, self.tasks, (status,), state, answered_ms)
            )


class Cancellation(threading.Thread):
    """Cancels a job once, some time after its submission."""

    def __init__(self, address: str, delay_s: float, job_id: str) -> None:
        """Set at which entry the job is cancelled, and when."""
        super().__init__(daemon=True)
        self.address = address
        self.delay_s = delay_s
        self.job_id = job_id
        self.records: list[CancelRecord] = []
        self.log: list[str] = []

    def run(self) -> None:
        """Cancel the job after the delay; record when it was acknowledged."""
        time.sleep(self.delay_s)
        sent_s = time.time()
        path, headers = PATH_PREFIX + self.job_id, {"Host": HOST_NAME}
        try:
            status, _ = call_json(
                self.address, "DELETE", path, None, HUNG_TIMEOUT_S, headers
            )
        except (OSError, http.client.HTTPException):
            status = NO_ANSWER
        self.log.append(
            f"{sent_s:.3f}-{time.time():.3f} {self.job_id} cancelled at "
            f"{self.address}: {status}"
        )
        if status in CANCELLED_STATUSES:
            acknowledged_ms = time.monotonic_ns() // 1_000_000
            self.records.append(CancelRecord(self.job_id, acknowledged_ms))


def collect_runs(fleet: DeployedFleet) -> list[WorkerRun]:
    """Return all runs that worker stand-ins have recorded."""
    return [
        WorkerRun(*row)._replace(worker=index)
        for index in range(len(fleet.agent_ips))
        for row in call_json(fleet.worker_address(index), "GET", "/history")[1]
    ]


def find_broken_promises(records: list[JobRecord], runs: list[WorkerRun]) -> list[str]:
    """Return a description of each broken promise to callers.

    No two runs of a task overlap, no refused job has run, a completed job has run
    all its tasks, and every job gets an answer.
    """
    runs_by_task: dict[str, list[WorkerRun]] = defaultdict(list)
    for run in runs:
        runs_by_task[run.task].append(run)
    broken_promises = [
        f"{task}: two runs at the same time: {first} {second}"
        for task, task_runs in runs_by_task.items()
        for first, second in overlapping_runs(task_runs)
    ]
    started_jobs = {task.partition(".")[0] for task in runs_by_task}
    for record in records:
        if HUNG in record.statuses:
            broken_promises.append(f"{record}: no answer")
        if (
            set(record.statuses) <= set(REFUSED_STATUSES)
            and record.job_id in started_jobs
        ):
            broken_promises.append(f"{record}: refused, but it has run")
        if record.state == "completed":
            broken_promises.extend(
                f"{record}: completed without task {index}"
                for index in range(record.tasks)
                if not any(
                    run.outcome == "done" and run.ended_ms <= record.answered_ms
                    for run in runs_by_task[f"{record.job_id}.0.0.{index}"]
                )
            )
    return broken_promises


def find_unasked_runs(
    cancelled: list[CancelRecord], runs: list[WorkerRun]
) -> list[str]:
    """Return a description of each run long after its job's cancellation."""
    acknowledged_ms: dict[str, int] = {}
    for record in cancelled:
        first_ms = acknowledged_ms.get(record.job_id, record.acknowledged_ms)
        acknowledged_ms[record.job_id] = min(first_ms, record.acknowledged_ms)
    return [
        f"{run}: cancelled {run.ended_ms - cancelled_ms} ms before its end"
        for run in runs
        if (cancelled_ms := acknowledged_ms.get(run.task.partition(".")[0]))
        and run.ended_ms > cancelled_ms + CANCEL_LIMIT_MS
    ]


def overlapping_runs(runs: list[WorkerRun]) -> list[tuple[WorkerRun, WorkerRun]]:
    """Return the pairs of runs that overlapped in time."""
    ordered = sorted(runs, key=lambda run: run.started_ms)
    return [
        (first, second)
        for index, first in enumerate(ordered)
        for second in ordered[index + 1 :]
        if second.started_ms < first.ended_ms
    ]


def keep_logs(
    directory: Path, fleet: SoakFleet, callers: list[Caller], summary: list[str]
) -> None:
    """Copy the logs of all processes, and write those of callers and a summary."""
    shutil.copytree(fleet.directory.name, directory, dirs_exist_ok=True)
    caller_log = sorted(line for caller in callers for line in caller.log)
    (directory / "callers.log").write_text("\n".join(caller_log) + "\n")
    (directory / "summary.txt").write_text("\n".join(summary) + "\n")


def run_soak(plan: SoakPlan, logs: Path | None = None) -> tuple[list[str], str]:
    """Run one seed; return the broken promises, and a summary line.

    If a promise was broken, the logs are kept in a directory with the seed's number.
    """
    fleet = SoakFleet(plan)
    try:
        with fleet:
            callers = [Caller(fleet, number, plan) for number in range(plan.callers)]
            for caller in callers:
                caller.start()
            injector = FaultInjector(fleet, plan)
            injector.run(plan.seconds)
            broken_promises = check_recovery(fleet)
            for caller in callers:
                caller.stopped.set()
            for caller in callers:
                caller.join(2 * HUNG_TIMEOUT_S + COPY_DELAY_S[1])
            records = [record for caller in callers for record in caller.records]
            cancelled = [
                record
                for caller in callers
                for cancellation in caller.cancellations
                for record in cancellation.records
            ]
            runs = collect_runs(fleet)
            broken_promises += find_broken_promises(records, runs)
            broken_promises += find_unasked_runs(cancelled, runs)
            broken_promises += fleet.breaches()
            broken_promises += find_exceeded_memory(fleet)
            if "Event " in fleet.log_tails() and " failed." in fleet.log_tails():
                broken_promises.append(
                    "exception in the decision code: " + fleet.log_tails()
                )
            reasons = count_lost_runs(fleet)
            if broken_promises and logs is not None:
                # Workers give times of the steady clock, logs those of day.
                clock_offset = f"{time.time() - time.monotonic():.3f} s clock offset"
                started = f"{injector.started_s:.3f} s steady start of faults"
                keep_logs(
                    logs / str(plan.seed),
                    fleet,
                    callers,
                    [str(plan), clock_offset, started]
                    + [*broken_promises, *injector.injected]
                    + [str(run) for run in runs],
                )
    finally:
        for proxy in [*fleet.proxies(), *fleet.entry_proxies()]:
            proxy.close()
    served = sum(record.statuses[-1] == 200 for record in records)
    summary = (
        f"seed {plan.seed}: {len(injector.injected)} faults, {served} of {len(records)}"
    )
    return (
        broken_promises,
        f"{summary} jobs served, {len(broken_promises)} broken; runs lost or refused:"
        f" {reasons}; {injector.injected}",
    )


def count_lost_runs(fleet: SoakFleet) -> dict[str, int]:
    """Return why agents reported runs as lost or refused, with counts."""
    reasons: Counter[str] = Counter()
    for index in range(len(fleet.agent_ips)):
        for line in fleet.read_log(f"agent-{index}").splitlines():
            if '"run ended"' not in line:
                continue
            fields = json.loads(line)
            if fields["how"] in LOST_OUTCOMES:
                reasons[fields["reason"]] += 1
    return dict(reasons.most_common())


def check_recovery(fleet: SoakFleet) -> list[str]:
    """Return the entries that do not serve within ``MAX_RECOVERY_S``."""
    broken_promises = []
    for index in range(len(fleet.entry_ips)):
        deadline_s = time.monotonic() + MAX_RECOVERY_S
        while not serves_a_job(fleet, index):
            if time.monotonic() > deadline_s:
                broken_promises.append(f"entry {index} serves nothing after the faults")
                break
            time.sleep(0.1)
    return broken_promises


def serves_a_job(fleet: SoakFleet, index: int) -> bool:
    """Return whether an entry answers a small job with status 200."""
    job_id = f"ffff{index:04x}{time.monotonic_ns() // 1_000_000 % 2**32:08x}"
    try:
        headers = {"Host": HOST_NAME}
        path = PATH_PREFIX + job_id
        answer = call_json(
            fleet.entry_address(index),
            "POST",
            path,
            make_burst_job(1, 10),
            MAX_RECOVERY_S,
            headers,
        )
    except (OSError, http.client.HTTPException):
        return False
    return answer[0] == 200


def main() -> None:
    """Run the seeds that the arguments name; exit with 1 if one failed."""
    parser = argparse.ArgumentParser(prog="bench.soak")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--workers", type=int, default=3)
    parser.add_argument("--callers", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--faults", choices=FAULT_MIXES, default="mixed")
    parser.add_argument("--long-tasks", type=float, default=0.0)
    parser.add_argument("--impatience", type=float, default=0.0)
    parser.add_argument("--copies", type=float, default=SoakPlan(0).copies)
    parser.add_argument("--lost-answers", type=float, default=SoakPlan(0).lost_answers)
    parser.add_argument("--cancels", type=float, default=SoakPlan(0).cancels)
    parser.add_argument("--keep-logs", type=Path)
    arguments = parser.parse_args()
    failed_seeds = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        broken_promises, summary = run_soak(
            SoakPlan(
                seed,
                arguments.entries,
                arguments.workers,
                arguments.callers,
                arguments.seconds,
                arguments.faults,
                arguments.long_tasks,
                arguments.impatience,
                arguments.copies,
                arguments.lost_answers,
                arguments.cancels,
            ),
            arguments.keep_logs,
        )
        failed_seeds += bool(broken_promises)
        print(summary, *broken_promises, sep="\n  ", flush=True)
    print(f"{arguments.seeds - failed_seeds} passed, {failed_seeds} failed")
    sys.exit(min(1, failed_seeds))


if __name__ == "__main__":
    main()
