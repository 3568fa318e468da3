"""Starts the programs as processes on loopback ports, for measurements."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any
from typing import NamedTuple

__all__ = ["Fleet", "FleetError", "TargetPlan", "call"]

READY_TIMEOUT_S = 30.0
STEP_S = 0.05
HOST = "127.0.0.1"
BIN = Path(sys.executable).parent


class FleetError(Exception):
    """A process did not get ready in time."""


class TargetPlan(NamedTuple):
    """One target: its slots and how much slower than declared it runs.

    A worker has as many processors, each with 1,000 MB.
    """

    slots: int = 8
    slowness: float = 1.0
    kind: str = "minion"

    def shape(self) -> dict[str, object]:
        """Return the shape in the agent's settings."""
        if self.kind == "minion":
            return {"kind": "minion", "slots": self.slots}
        return {
            "kind": "worker",
            "processors": self.slots,
            "memory_mb": 1_000 * self.slots,
            "rack": "rack-1",
        }


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free now."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((HOST, 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    timeout_s: float = 60.0,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    """Make one HTTP call with JSON bodies."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, headers or {})
        response = connection.getresponse()
        return response.status, json.loads(response.read() or b"null")
    finally:
        connection.close()


class Fleet:
    """A log, entries, and agents with targets; each its own process."""

    def __init__(
        self,
        entries: int,
        targets: list[TargetPlan],
        teams: dict[str, int] | None = None,
        entry_options: dict[str, object] | None = None,
    ) -> None:
        """Choose ports and write settings."""
        self.folder = tempfile.TemporaryDirectory(prefix="sardineferry-")
        self.teams = teams or {"tanjung": 100_000, "svidetel": 100_000}
        ports = iter(free_ports(1 + 2 * entries + len(targets)))
        self.log = f"{HOST}:{next(ports)}"
        self.links = [f"{HOST}:{next(ports)}" for _ in range(entries)]
        self.https = [f"{HOST}:{next(ports)}" for _ in range(entries)]
        self.targets = [f"{HOST}:{next(ports)}" for _ in targets]
        self.plans = targets
        self.entry_options = entry_options or {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Fleet:
        """Start everything and wait until agents are linked.

        Raises:
            FleetError: Something did not get ready in time.

        """
        self.start_log()
        for index in range(len(self.targets)):
            self.start_target(index)
        for index in range(len(self.https)):
            self.start_entry(index)
        for index in range(len(self.targets)):
            self.start_agent(index)
        try:
            for address in self.https:
                self.wait_linked(address, len(self.targets))
        except FleetError:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Kill what still runs."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.folder.cleanup()

    def spawn(self, name: str, program: str, *arguments: str) -> None:
        """Start one program; its standard error goes to a file."""
        errors = Path(self.folder.name) / f"{name}.log"
        with errors.open("ab") as stream:
            self.processes[name] = subprocess.Popen(
                [str(BIN / program), *arguments],
                stdout=stream,
                stderr=stream,
                env=dict(os.environ),
            )

    def settings_file(self, name: str, settings: dict[str, object]) -> str:
        """Write a settings file and return its path."""
        path = Path(self.folder.name) / f"{name}.json"
        path.write_text(json.dumps(settings))
        return str(path)

    def start_log(self) -> None:
        """Start the log stand-in."""
        self.spawn("log", "sardineferry-standin", "log", self.log)

    def start_target(self, index: int) -> None:
        """Start one target stand-in."""
        plan = self.plans[index]
        self.spawn(
            f"target-{index}",
            "sardineferry-standin",
            "target",
            self.targets[index],
            f"--slots={plan.slots}",
            f"--slowness={plan.slowness}",
        )

    def start_entry(self, index: int) -> None:
        """Start (or restart) one entry."""
        peers = [item for item in self.links if item != self.links[index]]
        settings: dict[str, object] = {
            "role": "entry",
            "name": f"entry-{index}",
            "data_centre": "gresik",
            "listen": self.links[index],
            "http": self.https[index],
            "log": self.log,
            "teams": self.teams,
            "peers": peers,
            **self.entry_options,
        }
        path = self.settings_file(f"entry-{index}", settings)
        self.spawn(f"entry-{index}", "sardineferry-entry", path)

    def start_agent(self, index: int) -> None:
        """Start (or restart) one agent."""
        settings: dict[str, object] = {
            "role": "agent",
            "name": f"agent-{index}",
            "data_centre": "gresik",
            "target": self.targets[index],
            "entries": self.links,
            "shape": self.plans[index].shape(),
        }
        path = self.settings_file(f"agent-{index}", settings)
        self.spawn(f"agent-{index}", "sardineferry-agent", path)

    def wait_linked(self, address: str, agents: int) -> None:
        """Wait until an entry has links to that many agents and all peers.

        Raises:
            FleetError: It did not in time.

        """
        until_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until_s:
            if self.linked(address) >= (agents, len(self.https) - 1):
                return
            time.sleep(STEP_S)
        raise FleetError(f"{address} has {self.linked(address)} links: {self.logs()}")

    def linked(self, address: str) -> tuple[int, int]:
        """Return how many agents and peers an entry is linked to."""
        try:
            _, dump = call(address, "GET", "/v1/dump")
        except OSError:
            return (0, 0)
        members = dump["members"].values()
        active = [item for item in members if item["linked"]]
        peers = [item for item in dump["peers"].values() if item["linked"]]
        return (len(active), len(peers))

    def logs(self) -> str:
        """Return the ends of all error files."""
        return "\n".join(
            f"{path.name}: {path.read_text()[-600:]}"
            for path in sorted(Path(self.folder.name).glob("*.log"))
            if path.stat().st_size
        )

    def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def most_starts(self) -> int:
        """Return the highest number of starts of any one task anywhere."""
        counts: dict[str, int] = {}
        for address in self.targets:
            _, body = call(address, "GET", "/starts")
            for key, count in body["starts"].items():
                counts[key] = counts.get(key, 0) + count
        return max(counts.values(), default=0)
