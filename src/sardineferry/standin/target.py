"""Simulates a target: a minion with slots, or a worker.

``POST /faults`` sets any of these faults: ``fail`` (every task ends with a server
error), ``reject`` (every task is refused before its start), ``stall_ms`` (added to
each run time) and ``usage_factor`` (the factor of declared processors and memory
that tasks use). ``GET /starts`` returns how often each task was started and each
control was called.
"""

from __future__ import annotations

import threading
import time
from collections import Counter
from typing import Any
from typing import TypedDict

from sardineferry.standin.web import Request
from sardineferry.standin.web import Response
from sardineferry.standin.web import WebStandin

__all__ = ["TargetFaults", "TargetStandin"]

DEFAULT_RUN_MS = 100
# A stop takes effect within this time.
MAX_SLEEP_S = 0.05


class TargetFaults(TypedDict):
    """The faults that are set."""

    fail: bool
    reject: bool
    stall_ms: int
    usage_factor: float


class TargetStandin(WebStandin):
    """Runs tasks by sleeping for their declared time."""

    def __init__(self, slots: int, slowness: float) -> None:
        """Run up to ``slots`` tasks at once; ``slowness`` multiplies run times."""
        self.slots = slots
        self.slowness = slowness
        self.lock = threading.Lock()
        self.starts: Counter[str] = Counter()
        self.running: dict[str, dict[str, Any]] = {}
        self.stopped: set[str] = set()
        self.controls: Counter[str] = Counter()
        self.faults = TargetFaults(
            fail=False, reject=False, stall_ms=0, usage_factor=1.0
        )

    def serve(self, request: Request) -> Response:
        """Serve the target's protocol, and requests to control the stand-in."""
        match request.method, request.path_parts:
            case "POST", ("run",):
                return self.run(request.body)
            case "POST", (("throttle" | "checkpoint" | "stop") as action,):
                return self.handle_control(action, request.body)
            case "GET", ("usage",):
                return Response(200, self.usage_report())
            case "GET", ("starts",):
                counts = {"starts": self.starts, "controls": self.controls}
                return Response(200, counts)
            case "POST", ("faults",):
                self.faults.update(request.body)
                return Response(200, self.faults)
        return Response(404, {"error": "no such path"})

    def run(self, body: dict[str, Any]) -> Response:
        """Run a task and return its result, or refuse it if all slots are taken."""
        key = f"{body['submission']}/{body['id']}"
        with self.lock:
            if self.faults["reject"] or len(self.running) >= self.slots:
                return Response(503, {"started": False, "reason": "no free slot"})
            self.starts[key] += 1
            self.running[key] = body
        try:
            self.sleep_for_run(key, body)
        finally:
            with self.lock:
                self.running.pop(key, None)
        if key in self.stopped:
            return Response(409, {"reason": "stopped"})
        if self.faults["fail"]:
            return Response(500, {"reason": "target fault"})
        return Response(200, {"answer": f"{body['kind']} {body['id']} done"})

    def sleep_for_run(self, key: str, body: dict[str, Any]) -> None:
        """Sleep for the task's run time, or until the task is stopped."""
        run_ms = (body["run_ms"] or DEFAULT_RUN_MS) * self.slowness
        until_s = time.monotonic() + (run_ms + self.faults["stall_ms"]) / 1_000
        while key not in self.stopped:
            remaining_s = until_s - time.monotonic()
            if remaining_s <= 0:
                return
            time.sleep(min(MAX_SLEEP_S, remaining_s))

    def handle_control(self, action: str, body: dict[str, Any]) -> Response:
        """Count a control call; only a stop has an effect on the task."""
        key = f"{body['submission']}/{body['task']}"
        self.controls[action] += 1
        if action == "stop":
            self.stopped.add(key)
        return Response(200, {"action": action})

    def usage_report(self) -> list[list[object]]:
        """Return the processors and memory that each running task uses."""
        usage_factor = self.faults["usage_factor"]
        with self.lock:
            return [
                [
                    [body["submission"], body["id"], body["attempt"]],
                    body["processors"] * usage_factor,
                    int(body["memory_mb"] * usage_factor),
                ]
                for body in self.running.values()
            ]
