"""A response is lost with its channel; its request is sent again and a copy is late."""

from __future__ import annotations

import socket
import threading
import time
from pathlib import Path
from typing import Any

from fleet import BOUNDS
from fleet import CannotRunError
from fleet import Fleet
from fleet import Request
from fleet import make_config
from fleet import make_job
from fleet import run_case

JOB_ID = "d94b36f85c0e7a21"
WORK_MS = 2_000
DEADLINE_MS = 10_000
# A copy of the first request arrives this long after its response.
LATE_S = 2.0


class LosingProxy:
    """Forwards one channel to an entry, and resets it once the response comes."""

    def __init__(self, entry: str, loses: bool) -> None:
        """Listen on a loopback address."""
        self.entry = entry
        self.loses = loses
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        """Serve the channel."""
        channel, _peer = self.listener.accept()
        host, _, port = self.entry.rpartition(":")
        upstream = socket.create_connection((host, int(port)))
        thread = threading.Thread(target=forward, args=(channel, upstream), daemon=True)
        thread.start()
        response = upstream.recv(65_536)
        if self.loses:
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        else:
            channel.sendall(response)
        # Shutting down wakes the other thread, which lets the close take effect.
        channel.shutdown(socket.SHUT_RD)
        thread.join()
        channel.close()
        upstream.close()


def forward(source: socket.socket, target: socket.socket) -> None:
    """Forward bytes until the source ends."""
    while data := source.recv(65_536):
        target.sendall(data)


def case(fleet: Fleet, trouble: bool) -> list[str]:
    """Submit a job, lose its response, submit it again; return the tasks that met."""
    record = fleet.record
    fleet.start(["a,r1-1", "a,r1-2", "a,r1-3"], make_config(1))
    entry, other = fleet.front_address(0), fleet.front_address(1)
    job = make_job(2, WORK_MS)
    proxy = LosingProxy(entry, loses=trouble)
    first = Request(record, "submit", proxy.address, "POST", JOB_ID, job, DEADLINE_MS)
    first.join()
    if trouble == bool(first.status):
        raise CannotRunError("the first response was not lost, or was without trouble")
    ended = time.monotonic()
    if trouble:
        record.add("the channel was reset as the response came")
        time.sleep(BOUNDS["RetransmitMs"] / 1_000)
        again = Request(record, "submit again", other, "POST", JOB_ID, job, DEADLINE_MS)
        time.sleep(max(0.0, ended + LATE_S - time.monotonic()))
        late = Request(record, "late copy", entry, "POST", JOB_ID, job, DEADLINE_MS)
        again.join()
        late.join()
    time.sleep(0.5)
    return simultaneous_runs(fleet)


def simultaneous_runs(fleet: Fleet) -> list[str]:
    """Return the starts of tasks of which another run was under way."""
    present: dict[str, dict[tuple[str, int], dict[str, Any]]] = {}
    breaches = []
    for event in fleet.worker_events():
        if event["event"] == "up":
            continue
        runs = present.setdefault(event["task"], {})
        if event["event"] == "end":
            runs.pop((event["worker"], event["attempt"]), None)
            continue
        breaches += [
            f"TWICE: {event['task']} was started on {event['worker']} (run"
            f" {event['attempt']}) while its run {run['attempt']} went on on"
            f" {run['worker']} for {event['at'] - run['at']} ms"
            for run in runs.values()
        ]
        runs[event["worker"], event["attempt"]] = event
    return breaches


run_case(case, Path(__file__).resolve().parent, entries=3, workers=3)
