"""Starts the programs as processes on loopback ports, for benchmarks and tests.

These are the entries and agents of the product's own interface; those for burst
jobs on an operator's platform are started by ``bench.deployed_fleet``.
"""

from __future__ import annotations

import contextlib
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
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from sardineferry.loop import split_address

if TYPE_CHECKING:
    from collections.abc import Container

__all__ = ["Fleet", "FleetError", "TargetPlan", "call_json"]

READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
HOST = "127.0.0.1"
BIN_DIR = Path(sys.executable).parent


class FleetError(Exception):
    """The fleet did not get ready in time."""


class TargetPlan(NamedTuple):
    """A target stand-in: its slots, and the factor on its tasks' run times.

    A target of kind "worker" has a processor and 1,000 MB of memory per slot.
    """

    slots: int = 8
    slowness: float = 1.0
    kind: str = "minion"

    def declared_shape(self) -> dict[str, object]:
        """Return the target's shape as the agent's settings declare it."""
        if self.kind == "minion":
            return {"kind": "minion", "slots": self.slots}
        return {
            "kind": "worker",
            "processors": self.slots,
            "memory_mb": 1_000 * self.slots,
            "rack": "rack-1",
        }


def find_free_ports(count: int, excluded: Container[int] = ()) -> list[int]:
    """Return loopback ports that are free at the moment, and not among ``excluded``."""
    ports: list[int] = []
    with contextlib.ExitStack() as sockets:
        while len(ports) < count:
            bound_socket = sockets.enter_context(socket.socket())
            bound_socket.bind((HOST, 0))
            port = bound_socket.getsockname()[1]
            if port not in excluded:
                ports.append(port)
    return ports


def call_json(
    address: str,
    method: str,
    path: str,
    body: object = None,
    timeout_s: float = 60.0,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    """Make an HTTP request with a JSON body, and return status and JSON answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, headers or {})
        response = connection.getresponse()
        return response.status, json.loads(response.read() or b"null")
    finally:
        connection.close()


class Fleet:
    """A log stand-in, entries, agents and target stand-ins as processes."""

    def __init__(
        self,
        entries: int,
        targets: list[TargetPlan],
        teams: dict[str, int] | None = None,
        entry_options: dict[str, object] | None = None,
    ) -> None:
        """Choose the ports."""
        self.directory = tempfile.TemporaryDirectory(prefix="sardineferry-")
        self.teams = teams or {"tanjung": 100_000, "svidetel": 100_000}
        ports = iter(find_free_ports(1 + 2 * entries + len(targets)))
        self.log_address = f"{HOST}:{next(ports)}"
        self.link_addresses = [f"{HOST}:{next(ports)}" for _ in range(entries)]
        self.http_addresses = [f"{HOST}:{next(ports)}" for _ in range(entries)]
        self.target_addresses = [f"{HOST}:{next(ports)}" for _ in targets]
        self.plans = targets
        self.entry_options = entry_options or {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Fleet:
        """Start all processes, and wait until they are linked and targets listen.

        Raises:
            FleetError: They were not ready in time.

        """
        self.start_log()
        for index in range(len(self.target_addresses)):
            self.start_target(index)
        for index in range(len(self.http_addresses)):
            self.start_entry(index)
        for index in range(len(self.target_addresses)):
            self.start_agent(index)
        try:
            for address in self.http_addresses:
                self.wait_for_links(address, len(self.target_addresses))
            for address in self.target_addresses:
                self.wait_for_listener(address)
        except FleetError:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Kill all processes that still run."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.directory.cleanup()

    def spawn(self, name: str, program: str, *arguments: str) -> None:
        """Start a program; what it prints is appended to NAME.log."""
        log_path = Path(self.directory.name) / f"{name}.log"
        with log_path.open("ab") as log_file:
            self.processes[name] = subprocess.Popen(
                [str(BIN_DIR / program), *arguments],
                stdout=log_file,
                stderr=log_file,
                env=dict(os.environ),
            )

    def write_settings(self, name: str, settings: dict[str, object]) -> str:
        """Write a settings file and return its path."""
        path = Path(self.directory.name) / f"{name}.json"
        path.write_text(json.dumps(settings))
        return str(path)

    def start_log(self) -> None:
        """Start the log stand-in."""
        self.spawn("log", "sardineferry-standin", "log", self.log_address)

    def start_target(self, index: int) -> None:
        """Start a target stand-in."""
        plan = self.plans[index]
        self.spawn(
            f"target-{index}",
            "sardineferry-standin",
            "target",
            self.target_addresses[index],
            f"--slots={plan.slots}",
            f"--slowness={plan.slowness}",
        )

    def start_entry(self, index: int) -> None:
        """Start or restart an entry."""
        peers = [
            item for item in self.link_addresses if item != self.link_addresses[index]
        ]
        settings: dict[str, object] = {
            "role": "entry",
            "name": f"entry-{index}",
            "data_centre": "gresik",
            "listen": self.link_addresses[index],
            "http": self.http_addresses[index],
            "log": self.log_address,
            "teams": self.teams,
            "peers": peers,
            **self.entry_options,
        }
        path = self.write_settings(f"entry-{index}", settings)
        self.spawn(f"entry-{index}", "sardineferry-entry", path)

    def start_agent(self, index: int) -> None:
        """Start or restart an agent."""
        settings: dict[str, object] = {
            "role": "agent",
            "name": f"agent-{index}",
            "data_centre": "gresik",
            "target": self.target_addresses[index],
            "entries": self.link_addresses,
            "shape": self.plans[index].declared_shape(),
        }
        path = self.write_settings(f"agent-{index}", settings)
        self.spawn(f"agent-{index}", "sardineferry-agent", path)

    def wait_for_listener(self, address: str) -> None:
        """Wait until an address accepts connections.

        Raises:
            FleetError: It accepted none in time.

        """
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                socket.create_connection(split_address(address)).close()
            except ConnectionRefusedError:
                time.sleep(POLL_INTERVAL_S)
            else:
                return
        raise FleetError(f"nothing listens on {address}")

    def wait_for_links(self, address: str, agents: int) -> None:
        """Wait until an entry is linked to that many agents and to all peers.

        Raises:
            FleetError: It was not linked in time.

        """
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if self.count_linked(address) >= (agents, len(self.http_addresses) - 1):
                return
            time.sleep(POLL_INTERVAL_S)
        raise FleetError(
            f"{address} has {self.count_linked(address)} links: {self.log_tails()}"
        )

    def count_linked(self, address: str) -> tuple[int, int]:
        """Return how many agents and peers an entry is linked to."""
        try:
            _, dump = call_json(address, "GET", "/v1/dump")
        except OSError:
            return (0, 0)
        members = dump["members"].values()
        agents = [item for item in members if item["linked"]]
        peers = [item for item in dump["peers"].values() if item["linked"]]
        return (len(agents), len(peers))

    def log_tails(self) -> str:
        """Return the end of what each process printed, for error messages."""
        return "\n".join(
            f"{path.name}: {path.read_text()[-600:]}"
            for path in sorted(Path(self.directory.name).glob("*.log"))
            if path.stat().st_size
        )

    def kill(self, name: str, signal_number: int = signal.SIGKILL) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(signal_number)

    def max_task_starts(self) -> int:
        """Return the number of starts of the task that targets started most often."""
        counts: dict[str, int] = {}
        for address in self.target_addresses:
            _, body = call_json(address, "GET", "/starts")
            for key, count in body["starts"].items():
                counts[key] = counts.get(key, 0) + count
        return max(counts.values(), default=0)
