"""A stand-in for a leased worker, as the platform's protocol describes it.

It does not guard its room and starts whatever it is told to; it notes each
breach of a promise instead: ``GET /breaches`` lists them, ``GET /history`` all
runs with their start and end by the machine's steady clock. ``POST /faults``
sets any of ``fail`` (every run fails), ``hang`` (no run goes on), ``down``
(refuses all), ``lose_starts`` (the next starts get no answer and are carried
out after ``late_ms``) and ``draining``.
"""

from __future__ import annotations

import http.client
import threading
import time
from typing import NamedTuple
from typing import TypedDict

import msgspec

from sardineferry.standin.web import Request
from sardineferry.standin.web import Response
from sardineferry.standin.web import WebStandin

__all__ = ["WorkerFaults", "WorkerStandin"]

LEASE_LIMIT_MS = 1_000
POLL_S = 0.005
REPORT_S = 0.5
REPORT_TIMEOUT_S = 1.0
# A start whose answer is lost keeps its connection until this is over.
LOST_ANSWER_S = 0.5


class WorkerFaults(TypedDict):
    """The faults in force."""

    fail: bool
    hang: bool
    down: bool
    lose_starts: int
    late_ms: int
    draining: bool


class Run(NamedTuple):
    """One run: its need, and when it ends by the clock."""

    task: str
    attempt: int
    cpu: int
    started_ms: int
    work_ms: int


class WorkerStandin(WebStandin):
    """Runs tasks by the clock; a task's spec is JSON with its work and need."""

    def __init__(self, worker_id: str, service: str, cpu: int) -> None:
        """Name the worker, its service and its thousandths of a core."""
        self.worker_id = worker_id
        self.service = service
        self.cpu = cpu
        self.born_ms = int(time.time() * 1_000)
        self.lock = threading.RLock()
        self.runs: dict[tuple[str, int], Run] = {}
        self.ends: list[tuple[int, str, int, str, str]] = []
        self.end_number = 0
        self.barred: dict[str, int] = {}
        self.fence = 0
        self.lease_until_ms = 0
        self.sequence = 0
        self.starts: list[tuple[str, int]] = []
        self.breaches: list[str] = []
        self.history: list[tuple[str, int, int, int, str]] = []
        self.faults = WorkerFaults(
            fail=False, hang=False, down=False, lose_starts=0, late_ms=0, draining=False
        )

    def now_ms(self) -> int:
        """Return the worker's steady clock."""
        return time.monotonic_ns() // 1_000_000

    def report_to(self, address: str) -> threading.Thread:
        """Send heartbeats to an agent, in a thread."""
        thread = threading.Thread(target=self.report, args=(address,), daemon=True)
        thread.start()
        return thread

    def report(self, address: str) -> None:
        """Send heartbeats until the process ends."""
        while True:
            if not self.faults["down"]:
                self.report_once(address)
            time.sleep(REPORT_S)

    def report_once(self, address: str) -> None:
        """Send one heartbeat; an agent that is away gets the next one."""
        self.sequence += 1
        body = {
            "Service": self.service,
            "State": "draining" if self.faults["draining"] else "ready",
            "Seq": self.sequence,
            "Room": {"Cpu": self.cpu, "MemMb": 100_000, "Gpu": 0},
            "Labels": ["a", "r1"],
            "ClockMs": self.now_ms(),
            "born": self.born_ms,
        }
        connection = http.client.HTTPConnection(address, timeout=REPORT_TIMEOUT_S)
        try:
            connection.request(
                "PUT", f"/v1/instances/{self.worker_id}", msgspec.json.encode(body)
            )
            connection.getresponse().read()
        except OSError:
            return
        finally:
            connection.close()

    def serve(self, request: Request) -> Response:
        """Start, stop or hold; set faults; list starts and breaches."""
        match request.method, request.parts:
            case "POST", ("faults",):
                self.faults.update(request.body)
                return Response(200, self.faults)
            case "GET", ("starts",):
                return Response(200, self.starts)
            case "GET", ("breaches",):
                return Response(200, self.breaches)
            case "GET", ("history",):
                return Response(200, self.past_and_present())
        if self.faults["down"]:
            return Response(503, {})
        expected = request.headers.get("expected-instance", self.worker_id)
        if expected != self.worker_id:
            return Response(421, {})
        match request.method, request.parts:
            case "POST", ("v1", "run-start"):
                return self.start(request.body)
            case "POST", ("v1", "run-stop"):
                return self.stop(request.body)
            case "POST", ("v1", "hold"):
                return self.hold(request.body)
        return Response(404, {})

    def past_and_present(self) -> list[tuple[str, int, int, int, str]]:
        """Return all runs; one that is under way ends now."""
        with self.lock:
            self.settle()
            now_ms = self.now_ms()
            return self.history + [
                (run.task, run.attempt, run.started_ms, now_ms, "running")
                for run in self.runs.values()
            ]

    def answer(self, status: int, reason: str = "") -> Response:
        """Return an answer with the clock."""
        body: dict[str, object] = {"ClockMs": self.now_ms(), "born": self.born_ms}
        if reason:
            body["Reason"] = reason
        return Response(status, body)

    def start(self, body: dict[str, object]) -> Response:
        """Start a run, or carry the order out late without an answer."""
        with self.lock:
            lost = self.faults["lose_starts"] > 0
            self.faults["lose_starts"] -= int(lost)
        if lost:
            late_s = self.faults["late_ms"] / 1_000
            timer = threading.Timer(late_s, self.start_now, (body,))
            timer.daemon = True
            timer.start()
            time.sleep(LOST_ANSWER_S)
            return Response(504, {})
        return self.start_now(body)

    def start_now(self, body: dict[str, object]) -> Response:
        """Carry a start order out."""
        task = str(body["Task"])
        attempt = msgspec.convert(body["Attempt"], int)
        deadline_ms = msgspec.convert(body["DeadlineMs"], int)
        with self.lock:
            self.settle()
            if self.is_fenced(body):
                return self.answer(409, "fence")
            if (task, attempt) in self.runs:
                return self.answer(200)
            if attempt <= self.barred.get(task, 0):
                return self.answer(409, "old")
            if deadline_ms <= self.now_ms():
                return self.answer(409, "late")
            self.extend(deadline_ms)
            self.begin(task, attempt, str(body["Spec"]))
        return self.answer(200)

    def begin(self, task: str, attempt: int, spec: str) -> None:
        """Begin a run and note what it breaches."""
        row = msgspec.json.decode(spec)
        run = Run(task, attempt, row["cpu"], self.now_ms(), row["work_ms"])
        if any(other.task == task for other in self.runs.values()):
            self.breaches.append(f"two runs of {task} at the same time")
        self.runs[task, attempt] = run
        if sum(other.cpu for other in self.runs.values()) > self.cpu:
            self.breaches.append(f"{task} exceeds the room")
        self.starts.append((task, attempt))

    def stop(self, body: dict[str, object]) -> Response:
        """Stop a run, and bar its attempt."""
        task = str(body["Task"])
        attempt = msgspec.convert(body["Attempt"], int)
        with self.lock:
            self.settle()
            if self.is_fenced(body):
                return self.answer(409, "fence")
            if (task, attempt) in self.runs:
                self.end(self.runs[task, attempt], "stopped", self.now_ms())
            self.bar(task, attempt)
        return self.answer(200)

    def hold(self, body: dict[str, object]) -> Response:
        """Extend the lease and list runs and ends, waiting for an end."""
        acknowledged = msgspec.convert(body.get("LastAcked", 0), int)
        wait_ms = msgspec.convert(body.get("WaitMs", 0), int)
        with self.lock:
            if self.is_fenced(body):
                return self.answer(409, "fence")
            self.extend(msgspec.convert(body.get("DeadlineMs", 0), int))
            self.ends = [row for row in self.ends if row[0] > acknowledged]
        until_s = time.monotonic() + wait_ms / 1_000
        while True:
            with self.lock:
                self.settle()
                if self.ends or time.monotonic() >= until_s:
                    return self.lists()
            time.sleep(POLL_S)

    def lists(self) -> Response:
        """Return both lists."""
        running = [
            [run.task, run.attempt, "", self.percent(run), run.cpu]
            for run in self.runs.values()
        ]
        return Response(
            200,
            {
                "ClockMs": self.now_ms(),
                "born": self.born_ms,
                "Running": running,
                "Finished": self.ends,
            },
        )

    def percent(self, run: Run) -> int:
        """Return how much of a run's work is done."""
        if self.faults["hang"] or not run.work_ms:
            return 0
        return min(99, 100 * (self.now_ms() - run.started_ms) // run.work_ms)

    def is_fenced(self, body: dict[str, object]) -> bool:
        """Take a fencing token; tell whether it is lower than one seen."""
        token = msgspec.convert(body.get("FencingToken", 0), int)
        if token < self.fence:
            return True
        self.fence = token
        return False

    def extend(self, deadline_ms: int) -> None:
        """Extend the lease, within the limit."""
        longest_ms = self.now_ms() + LEASE_LIMIT_MS
        self.lease_until_ms = max(self.lease_until_ms, min(deadline_ms, longest_ms))

    def settle(self) -> None:
        """End what is done, and all that runs once the lease has lapsed."""
        now_ms = self.now_ms()
        for run in list(self.runs.values()):
            done_ms = run.started_ms + run.work_ms
            if not self.faults["hang"] and done_ms <= min(now_ms, self.lease_until_ms):
                self.end(run, "failed" if self.faults["fail"] else "done", done_ms)
            elif now_ms > self.lease_until_ms:
                self.end(run, "lapsed", self.lease_until_ms)

    def end(self, run: Run, how: str, ended_ms: int) -> None:
        """List the end of a run, which may have been a while ago."""
        self.history.append((run.task, run.attempt, run.started_ms, ended_ms, how))
        del self.runs[run.task, run.attempt]
        self.end_number += 1
        self.ends.append((self.end_number, run.task, run.attempt, how, ""))
        self.bar(run.task, run.attempt)

    def bar(self, task: str, attempt: int) -> None:
        """Reject this attempt and lower ones from now on."""
        self.barred[task] = max(attempt, self.barred.get(task, 0))
