"""A stand-in for a target: a minion with slots, or a worker.

``POST /faults`` sets any of ``fail`` (every task gets a server error),
``reject`` (every task is refused before its start), ``stall_ms`` (added to
each run) and ``usage_factor`` (used processors per declared one).
``GET /starts`` lists how often each task was started, and each control used.
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
STEP_S = 0.05


class TargetFaults(TypedDict):
    """The faults in force."""

    fail: bool
    reject: bool
    stall_ms: int
    usage_factor: float


class TargetStandin(WebStandin):
    """Runs tasks by sleeping for their declared time."""

    def __init__(self, slots: int, slowness: float) -> None:
        """Offer ``slots`` at once; run times are multiplied by ``slowness``."""
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
        """Run or control a task, report usage or starts, set faults."""
        match request.method, request.parts:
            case "POST", ("run",):
                return self.run(request.body)
            case "POST", (("throttle" | "checkpoint" | "stop") as action,):
                return self.control(action, request.body)
            case "GET", ("usage",):
                return Response(200, self.usage())
            case "GET", ("starts",):
                counts = {"starts": self.starts, "controls": self.controls}
                return Response(200, counts)
            case "POST", ("faults",):
                self.faults.update(request.body)
                return Response(200, self.faults)
        return Response(404, {"error": "no such path"})

    def run(self, body: dict[str, Any]) -> Response:
        """Run a task, unless all slots are taken."""
        key = f"{body['submission']}/{body['id']}"
        with self.lock:
            if self.faults["reject"] or len(self.running) >= self.slots:
                return Response(503, {"started": False, "reason": "no free slot"})
            self.starts[key] += 1
            self.running[key] = body
        try:
            self.work(key, body)
        finally:
            with self.lock:
                self.running.pop(key, None)
        if key in self.stopped:
            return Response(409, {"reason": "stopped"})
        if self.faults["fail"]:
            return Response(500, {"reason": "target fault"})
        return Response(200, {"answer": f"{body['kind']} {body['id']} done"})

    def work(self, key: str, body: dict[str, Any]) -> None:
        """Sleep for the run time, in steps so that a stop takes effect."""
        run_ms = (body["run_ms"] or DEFAULT_RUN_MS) * self.slowness
        until_s = time.monotonic() + (run_ms + self.faults["stall_ms"]) / 1_000
        while key not in self.stopped:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                return
            time.sleep(min(STEP_S, left_s))

    def control(self, action: str, body: dict[str, Any]) -> Response:
        """Throttle, checkpoint or stop a running task."""
        key = f"{body['submission']}/{body['task']}"
        self.controls[action] += 1
        if action == "stop":
            self.stopped.add(key)
        return Response(200, {"action": action})

    def usage(self) -> list[list[object]]:
        """Report what running tasks use."""
        factor = self.faults["usage_factor"]
        with self.lock:
            return [
                [
                    [body["submission"], body["id"], body["attempt"]],
                    body["processors"] * factor,
                    int(body["memory_mb"] * factor),
                ]
                for body in self.running.values()
            ]
