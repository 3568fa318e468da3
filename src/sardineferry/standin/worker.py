"""Simulates a worker of the platform, whose runs end when its lease lapses.

It does not enforce its capacity, but records each breach: two runs of a task at the
same time, or more runs than it has processors for. ``GET /breaches`` lists them, and
``GET /history`` all runs with their start and end on the machine's monotonic clock,
and when a hold first listed that end (0 if none did).

``POST /faults`` sets any of these faults:

- ``fail``: every run fails.
- ``hang``: no run makes progress.
- ``down``: the agent's requests are refused and no heartbeats sent.
- ``lose_starts``: so many of the next starts get no answer and are carried out after
  ``late_ms``.
- ``draining``: heartbeats report that state.
- ``spoil_answers``: so many of the next requests to ``spoiled_path`` are carried out at
  once and answered ``spoiled_ms`` later, with ``spoiled_status`` unless that is 0.
- ``heartbeat_delay_ms``: heartbeats arrive so much later, perhaps after newer ones.
- ``foreign_heartbeats``: heartbeats of another writer, which name no worker to use,
  precede those of the worker.

``POST /crash`` ends all runs, and the worker is down. ``POST /restart`` begins another
incarnation, which knows nothing of the earlier one: its clock, born and all counts
start anew, its ``id`` may be the same, and its first heartbeat follows
``first_heartbeat_ms`` later. It serves requests whose paths begin with ``root``
instead of v1, so that those that are under way to the earlier one die with it.
Without a crash before, the earlier incarnation lingers: its runs go on until they are
done or their lease lapses, but nobody reaches it.
"""

from __future__ import annotations

import http.client
import random
import threading
import time
from typing import NamedTuple
from typing import TypedDict

import msgspec

from sardineferry.standin.web import Request
from sardineferry.standin.web import Response
from sardineferry.standin.web import WebStandin

__all__ = ["WorkerFaults", "WorkerStandin"]

MAX_LEASE_MS = 1_000
# Time between two checks for ended runs while a hold waits.
POLL_INTERVAL_S = 0.005
HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.0
# Time between two checks whether a heartbeat is due.
HEARTBEAT_POLL_S = 0.01
# How long a start whose answer is lost keeps its connection open.
LOST_START_CONNECTION_S = 0.5
# Changes that make a worker's heartbeat one that names no worker to use; None removes
# a field.
FOREIGN_HEARTBEATS: tuple[dict[str, object], ...] = (
    {"born": None},
    {"born": "soon"},
    {"Seq": None},
    {"State": "resting"},
    {"Service": "elsewhere"},
    {"Room": 7},
)


class WorkerFaults(TypedDict):
    """The faults that are set."""

    fail: bool
    hang: bool
    down: bool
    lose_starts: int
    late_ms: int
    draining: bool
    spoil_answers: int
    spoiled_path: str
    spoiled_ms: int
    spoiled_status: int
    heartbeat_delay_ms: int
    foreign_heartbeats: bool


NO_FAULTS = WorkerFaults(
    fail=False,
    hang=False,
    down=False,
    lose_starts=0,
    late_ms=0,
    draining=False,
    spoil_answers=0,
    spoiled_path="",
    spoiled_ms=0,
    spoiled_status=0,
    heartbeat_delay_ms=0,
    foreign_heartbeats=False,
)


class Run(NamedTuple):
    """A run that is under way; ``cpu`` is in thousandths of a core."""

    task: str
    attempt: int
    cpu: int
    started_ms: int
    work_ms: int


class EndedRun(NamedTuple):
    """A run that has ended, in times of the machine's monotonic clock.

    ``listed_ms`` is when a hold first listed the end; 0 if none did.
    """

    task: str
    attempt: int
    started_ms: int
    ended_ms: int
    how: str
    listed_ms: int = 0


class WorkerStandin(WebStandin):
    """Simulates runs by time alone.

    The spec of a task is JSON with its ``work_ms`` and ``cpu``.
    """

    def __init__(self, worker_id: str, service: str, cpu: int) -> None:
        """Create a worker without runs; ``cpu`` is in thousandths of a core."""
        self.service = service
        self.cpu = cpu
        self.lock = threading.RLock()
        self.starts: list[tuple[str, int]] = []
        self.breaches: list[str] = []
        self.history: list[EndedRun] = []
        self.faults = NO_FAULTS.copy()
        # The number of crashes; requests that were received before one die with it.
        self.crashes = 0
        self.crashed = False
        self.path_root = "v1"
        self.begin_incarnation(worker_id, first_heartbeat_ms=0)

    def begin_incarnation(self, worker_id: str, first_heartbeat_ms: int) -> None:
        """Set all state of an incarnation, which knows nothing of an earlier one."""
        self.worker_id = worker_id
        self.born_ms = int(time.time() * 1_000)
        # When the incarnation's clock read 0, on the machine's monotonic clock.
        self.clock_zero_ms = self.now_ms()
        self.heartbeat_due_ms = self.now_ms() + first_heartbeat_ms
        self.runs: dict[tuple[str, int], Run] = {}
        # Ends that no hold has acknowledged yet, and the number of the last end.
        self.ends: list[tuple[int, str, int, str, str]] = []
        self.last_end_number = 0
        # The place in the history of each end, by its number.
        self.history_index_by_end: dict[int, int] = {}
        # The highest attempt that is rejected, by task.
        self.max_rejected_attempt: dict[str, int] = {}
        self.max_fencing_token = 0
        self.lease_until_ms = 0
        self.last_heartbeat_number = 0

    def now_ms(self) -> int:
        """Return the time of the machine's monotonic clock."""
        return time.monotonic_ns() // 1_000_000

    def clock_ms(self) -> int:
        """Return the time of the incarnation's clock."""
        return self.now_ms() - self.clock_zero_ms

    def report_to(self, address: str) -> threading.Thread:
        """Send heartbeats to an agent, in a thread of its own."""
        thread = threading.Thread(
            target=self.send_heartbeats, args=(address,), daemon=True
        )
        thread.start()
        return thread

    def send_heartbeats(self, address: str) -> None:
        """Send heartbeats until the process ends, except while the worker is down."""
        while True:
            time.sleep(HEARTBEAT_POLL_S)
            if self.now_ms() < self.heartbeat_due_ms:
                continue
            self.heartbeat_due_ms = self.now_ms() + int(HEARTBEAT_INTERVAL_S * 1_000)
            if self.faults["down"] or self.crashed:
                continue
            with self.lock:
                worker_id, body = self.worker_id, self.make_heartbeat()
            if self.faults["foreign_heartbeats"]:
                changes = random.choice(FOREIGN_HEARTBEATS)
                foreign = {
                    name: changes.get(name, value)
                    for name, value in body.items()
                    if changes.get(name, value) is not None
                }
                send_heartbeat(address, worker_id, foreign)
            if delay_ms := self.faults["heartbeat_delay_ms"]:
                timer = threading.Timer(
                    delay_ms / 1_000, send_heartbeat, (address, worker_id, body)
                )
                timer.daemon = True
                timer.start()
            else:
                send_heartbeat(address, worker_id, body)

    def make_heartbeat(self) -> dict[str, object]:
        """Return the body of the incarnation's next heartbeat."""
        self.last_heartbeat_number += 1
        return {
            "Service": self.service,
            "State": "draining" if self.faults["draining"] else "ready",
            "Seq": self.last_heartbeat_number,
            "Room": {"Cpu": self.cpu, "MemMb": 100_000, "Gpu": 0},
            "Labels": ["a", "r1"],
            "ClockMs": self.clock_ms(),
            "born": self.born_ms,
        }

    def serve(self, request: Request) -> Response:
        """Serve the worker's protocol, and requests to control the stand-in."""
        match request.method, request.path_parts:
            case "POST", ("faults",):
                self.faults.update(request.body)
                return Response(200, self.faults)
            case "POST", ("crash",):
                self.crash()
                return Response(200, {})
            case "POST", ("restart",):
                with self.lock:
                    if not self.crashed:
                        self.linger()
                    self.begin_incarnation(
                        request.body["id"], request.body["first_heartbeat_ms"]
                    )
                    self.crashed = False
                    self.path_root = request.body["root"]
                return Response(200, {"born": self.born_ms})
            case "GET", ("starts",):
                return Response(200, self.starts)
            case "GET", ("breaches",):
                return Response(200, self.breaches)
            case "GET", ("history",):
                return Response(200, self.all_runs())
        if self.faults["down"] or self.crashed:
            return Response(503, {})
        expected = request.headers.get("expected-instance", self.worker_id)
        if expected != self.worker_id:
            return Response(421, {})
        if request.path_parts[0] != self.path_root:
            return Response(504, {})
        match request.method, request.path_parts:
            case "POST", (_, "run-start"):
                return self.spoil_answer("run-start", self.start(request.body))
            case "POST", (_, "run-stop"):
                return self.spoil_answer("run-stop", self.stop(request.body))
            case "POST", (_, "hold"):
                return self.spoil_answer("hold", self.hold(request.body))
        return Response(404, {})

    def spoil_answer(self, path: str, response: Response) -> Response:
        """Delay or replace the answer to a request that was carried out, if set."""
        with self.lock:
            spoils = self.faults["spoil_answers"] > 0 and (
                path == self.faults["spoiled_path"]
            )
            self.faults["spoil_answers"] -= int(spoils)
            status = self.faults["spoiled_status"]
        if not spoils:
            return response
        time.sleep(self.faults["spoiled_ms"] / 1_000)
        return Response(status, {}) if status else response

    def crash(self) -> None:
        """End all runs at once; until the restart the worker answers nothing."""
        with self.lock:
            self.end_due_runs()
            for run in list(self.runs.values()):
                self.end_run(run, "crashed", self.now_ms())
            self.crashes += 1
            self.crashed = True

    def linger(self) -> None:
        """Let all runs go on, out of reach, until they are done or lapse."""
        with self.lock:
            self.end_due_runs()
            for run in list(self.runs.values()):
                done_ms = run.started_ms + run.work_ms
                ended_ms = min(done_ms, self.lease_until_ms)
                self.end_run(run, "done" if ended_ms == done_ms else "lapsed", ended_ms)
            self.crashes += 1

    def all_runs(self) -> list[EndedRun]:
        """Return ended runs and those under way, whose end is given as now."""
        with self.lock:
            self.end_due_runs()
            now_ms = self.now_ms()
            return self.history + [
                EndedRun(run.task, run.attempt, run.started_ms, now_ms, "running")
                for run in self.runs.values()
            ]

    def make_response(self, status: int, reason: str = "") -> Response:
        """Return a response with the clock, and with the reason if it is a refusal."""
        body: dict[str, object] = {"ClockMs": self.clock_ms(), "born": self.born_ms}
        if reason:
            body["Reason"] = reason
        return Response(status, body)

    def start(self, body: dict[str, object]) -> Response:
        """Carry out a start order, or lose its answer and carry it out late."""
        with self.lock:
            loses_answer = self.faults["lose_starts"] > 0
            self.faults["lose_starts"] -= int(loses_answer)
        if loses_answer:
            late_s = self.faults["late_ms"] / 1_000
            timer = threading.Timer(
                late_s, self.carry_out_late_start, (body, self.crashes)
            )
            timer.daemon = True
            timer.start()
            time.sleep(LOST_START_CONNECTION_S)
            return Response(504, {})
        return self.carry_out_start(body)

    def carry_out_late_start(self, body: dict[str, object], crashes: int) -> None:
        """Carry out a start, unless it died with the incarnation that received it."""
        with self.lock:
            if self.crashes == crashes:
                self.carry_out_start(body)

    def carry_out_start(self, body: dict[str, object]) -> Response:
        """Start a run, unless the order is outdated or late."""
        task = str(body["Task"])
        attempt = msgspec.convert(body["Attempt"], int)
        deadline_ms = msgspec.convert(body["DeadlineMs"], int)
        with self.lock:
            self.end_due_runs()
            if self.is_fenced(body):
                return self.make_response(409, "fence")
            if (task, attempt) in self.runs:
                return self.make_response(200)
            if attempt <= self.max_rejected_attempt.get(task, 0):
                return self.make_response(409, "old")
            if deadline_ms <= self.clock_ms():
                return self.make_response(409, "late")
            self.extend_lease(deadline_ms)
            self.begin_run(task, attempt, str(body["Spec"]))
        return self.make_response(200)

    def begin_run(self, task: str, attempt: int, spec: str) -> None:
        """Begin a run and record the breaches that it causes."""
        fields = msgspec.json.decode(spec)
        run = Run(task, attempt, fields["cpu"], self.now_ms(), fields["work_ms"])
        if any(other.task == task for other in self.runs.values()):
            self.breaches.append(f"two runs of {task} at the same time")
        self.runs[task, attempt] = run
        if sum(other.cpu for other in self.runs.values()) > self.cpu:
            self.breaches.append(f"{task} exceeds the room")
        self.starts.append((task, attempt))

    def stop(self, body: dict[str, object]) -> Response:
        """Stop a run, and reject its attempt from now on."""
        task = str(body["Task"])
        attempt = msgspec.convert(body["Attempt"], int)
        with self.lock:
            self.end_due_runs()
            if self.is_fenced(body):
                return self.make_response(409, "fence")
            if (task, attempt) in self.runs:
                self.end_run(self.runs[task, attempt], "stopped", self.now_ms())
            self.reject_attempts_up_to(task, attempt)
        return self.make_response(200)

    def hold(self, body: dict[str, object]) -> Response:
        """Extend the lease and return the lists of runs and ends.

        If no end is listed, wait up to ``WaitMs`` for one.
        """
        acknowledged = msgspec.convert(body.get("LastAcked", 0), int)
        wait_ms = msgspec.convert(body.get("WaitMs", 0), int)
        with self.lock:
            if self.is_fenced(body):
                return self.make_response(409, "fence")
            self.extend_lease(msgspec.convert(body.get("DeadlineMs", 0), int))
            self.ends = [end for end in self.ends if end[0] > acknowledged]
            crashes = self.crashes
        until_s = time.monotonic() + wait_ms / 1_000
        while True:
            with self.lock:
                if self.crashes != crashes:
                    return Response(504, {})
                self.end_due_runs()
                if self.ends or time.monotonic() >= until_s:
                    return self.runs_and_ends()
            time.sleep(POLL_INTERVAL_S)

    def runs_and_ends(self) -> Response:
        """Return the lists of runs and of unacknowledged ends."""
        for number, *_ in self.ends:
            index = self.history_index_by_end[number]
            if not self.history[index].listed_ms:
                self.history[index] = self.history[index]._replace(
                    listed_ms=self.now_ms()
                )
        running = [
            [run.task, run.attempt, "", self.percent_done(run), run.cpu]
            for run in self.runs.values()
        ]
        return Response(
            200,
            {
                "ClockMs": self.clock_ms(),
                "born": self.born_ms,
                "Running": running,
                "Finished": self.ends,
            },
        )

    def percent_done(self, run: Run) -> int:
        """Return how much of a run's work is done; at most 99 while it runs."""
        if self.faults["hang"] or not run.work_ms:
            return 0
        return min(99, 100 * (self.now_ms() - run.started_ms) // run.work_ms)

    def is_fenced(self, body: dict[str, object]) -> bool:
        """Return whether the fencing token is lower than one seen before.

        A token that is not lower is remembered.
        """
        token = msgspec.convert(body.get("FencingToken", 0), int)
        if token < self.max_fencing_token:
            return True
        self.max_fencing_token = token
        return False

    def extend_lease(self, deadline_ms: int) -> None:
        """Extend the lease to the deadline, but not beyond the longest lease."""
        now_ms = self.now_ms()
        until_ms = min(deadline_ms + self.clock_zero_ms, now_ms + MAX_LEASE_MS)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def end_due_runs(self) -> None:
        """End runs whose work is done, and all others if the lease has lapsed."""
        now_ms = self.now_ms()
        for run in list(self.runs.values()):
            done_ms = run.started_ms + run.work_ms
            if not self.faults["hang"] and done_ms <= min(now_ms, self.lease_until_ms):
                self.end_run(run, "failed" if self.faults["fail"] else "done", done_ms)
            elif now_ms > self.lease_until_ms:
                self.end_run(run, "lapsed", self.lease_until_ms)

    def end_run(self, run: Run, how: str, ended_ms: int) -> None:
        """Remove a run and list its end, which may be in the past."""
        del self.runs[run.task, run.attempt]
        self.last_end_number += 1
        self.history_index_by_end[self.last_end_number] = len(self.history)
        self.history.append(
            EndedRun(run.task, run.attempt, run.started_ms, ended_ms, how)
        )
        self.ends.append((self.last_end_number, run.task, run.attempt, how, ""))
        self.reject_attempts_up_to(run.task, run.attempt)

    def reject_attempts_up_to(self, task: str, attempt: int) -> None:
        """Reject starts of this attempt and lower ones from now on."""
        self.max_rejected_attempt[task] = max(
            attempt, self.max_rejected_attempt.get(task, 0)
        )


def send_heartbeat(address: str, worker_id: str, body: dict[str, object]) -> None:
    """Send a heartbeat; if the agent can't be reached, it is lost."""
    connection = http.client.HTTPConnection(address, timeout=HEARTBEAT_TIMEOUT_S)
    try:
        connection.request(
            "PUT", f"/v1/instances/{worker_id}", msgspec.json.encode(body)
        )
        connection.getresponse().read()
    except (OSError, http.client.HTTPException):
        return
    finally:
        connection.close()
