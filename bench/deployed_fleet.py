"""Starts the programs as a platform runs them, on loopback stand-ins.

Each machine has a loopback address of its own, since link and metrics ports
are the same on all of them.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from bench.fleet import BIN
from bench.fleet import READY_TIMEOUT_S
from bench.fleet import STEP_S
from bench.fleet import FleetError
from bench.fleet import call
from bench.fleet import free_ports

__all__ = ["HOST_NAME", "PATH_PREFIX", "DeployedFleet", "make_burst", "submit_burst"]

HOST_NAME = "desk.example"
PATH_PREFIX = "/holds/"
SERVICE = "desk"
GRACE_S = 6
ZONES = ("gresik", "cilacap")


def configuration(version: int, **route: object) -> dict[str, object]:
    """Return a configuration with one route."""
    return {
        "Version": version,
        "Routes": [
            {
                "Name": "holds",
                "Host": HOST_NAME,
                "PathPrefix": PATH_PREFIX,
                "Service": SERVICE,
                "TargetLatencyMs": 1_000,
                "SlackFactor": 2.0,
                "Attempts": 3,
                **route,
            }
        ],
        "Services": [{"Name": SERVICE}],
        "Limits": {},
    }


def make_burst(tasks: int, work_ms: int, cpu: int = 1_000) -> dict[str, object]:
    """Return a job; the worker stand-in reads its work from the spec."""
    return {
        "Spec": f'{{"work_ms":{work_ms},"cpu":{cpu}}}',
        "Burstable": True,
        "Steps": [
            {"Count": tasks, "Cpu": cpu, "MemMb": 1, "EstimateMs": max(1, work_ms)}
        ],
    }


def submit_burst(
    address: str, job_id: str, job: dict[str, object], timeout_s: float = 30.0
) -> tuple[int, Any]:
    """Hand a job in and wait until it has ended."""
    headers = {"Host": HOST_NAME}
    return call(address, "POST", PATH_PREFIX + job_id, job, timeout_s, headers)


class DeployedFleet:
    """A store, entries, and agents with workers; each its own process."""

    def __init__(self, entries: int, workers: int, cpu: int = 8_000) -> None:
        """Choose addresses; the last number of a machine's is its index."""
        self.folder = tempfile.TemporaryDirectory(prefix="sardineferry-")
        self.cpu = cpu
        net = f"127.{1 + os.getpid() % 200}.{time.monotonic_ns() // 1_000 % 250}"
        ips = [f"{net}.{number + 1}" for number in range(entries + workers)]
        self.entry_ips, self.agent_ips = ips[:entries], ips[entries:]
        ports = free_ports(7)
        self.store = f"127.0.0.1:{ports[0]}"
        self.front, self.ready, self.control = ports[1], ports[2], ports[3]
        self.link, self.app, self.metrics = ports[4], ports[5], ports[6]
        # Where workers listen, and where programs reach the store: elsewhere
        # if proxies stand between.
        self.worker_port = self.app
        self.program_store = self.store
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> DeployedFleet:
        """Start everything and wait until entries are ready."""
        self.spawn("store", "sardineferry-standin", "log", self.store)
        self.wait(lambda: call(self.store, "GET", "/stats")[0] == 200)
        self.configure(configuration(1))
        for index in range(len(self.agent_ips)):
            self.start_worker(index)
            self.start_agent(index)
        for index in range(len(self.entry_ips)):
            self.start_entry(index)
        try:
            for index in range(len(self.agent_ips)):
                self.wait_worker(index)
            for index in range(len(self.entry_ips)):
                self.wait_ready(index)
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

    def configure(self, document: dict[str, object]) -> None:
        """Write a configuration as the operator does."""
        call(self.store, "PUT", "/keys/keyed.op/config", document)

    def spawn(self, name: str, *command: str, settings: Path | None = None) -> None:
        """Start one program; what it writes goes to a file."""
        program = (
            [str(BIN / command[0])] if command[0] != "python" else [sys.executable]
        )
        with (Path(self.folder.name) / f"{name}.log").open("ab") as stream:
            self.processes[name] = subprocess.Popen(
                [*program, *command[1:]],
                stdout=stream,
                stderr=stream,
                env={
                    **os.environ,
                    "SARDINEFERRY_SETTINGS": str(settings or ""),
                    "SARDINEFERRY_METRICS_PORT": str(self.metrics),
                },
            )

    def settings(self, name: str, ip: str, listen: dict[str, str]) -> Path:
        """Write the settings file of a machine."""
        document = {
            "NodeName": name,
            "Ip": ip,
            "Zone": ZONES[int(ip.rpartition(".")[2]) % len(ZONES)],
            "Listen": listen,
            "PortRange": [self.link, self.link],
            "Seeds": [f"{entry}:{self.control}" for entry in self.entry_ips[:1]],
            "Limits": {"MemoryMb": 300},
            "Bounds": {"GraceS": GRACE_S},
            "platform": {"Address": self.program_store},
            "app": f"{ip}:{self.app}",
            "Service": SERVICE,
            "Unknown": {"ignored": True},
        }
        path = Path(self.folder.name) / f"{name}.json"
        path.write_text(json.dumps(document))
        return path

    def start_worker(self, index: int) -> None:
        """Start (or restart) a worker stand-in."""
        ip = self.agent_ips[index]
        self.spawn(
            f"worker-{index}",
            "sardineferry-standin",
            "worker",
            f"{ip}:{self.worker_port}",
            f"{ip}:{self.control}",
            f"w-{index}",
            SERVICE,
            f"--cpu={self.cpu}",
        )

    def start_agent(self, index: int) -> None:
        """Start (or restart) an agent."""
        ip = self.agent_ips[index]
        path = self.settings(f"agent-{index}", ip, {"Control": f"{ip}:{self.control}"})
        self.run_role(f"agent-{index}", "agent", path)

    def start_entry(self, index: int) -> None:
        """Start (or restart) an entry."""
        ip = self.entry_ips[index]
        listen = {
            "Front": f"{ip}:{self.front}",
            "Ready": f"{ip}:{self.ready}",
            "Control": f"{ip}:{self.control}",
        }
        path = self.settings(f"entry-{index}", ip, listen)
        self.run_role(f"entry-{index}", "entry", path)

    def run_role(self, name: str, role: str, settings: Path) -> None:
        """Start a program by its role."""
        self.spawn(
            name,
            "python",
            "-m",
            "sardineferry.console.deployed",
            role,
            settings=settings,
        )

    def entry(self, index: int) -> str:
        """Return where an entry takes callers."""
        return f"{self.entry_ips[index]}:{self.front}"

    def worker(self, index: int) -> str:
        """Return where a worker is called."""
        return f"{self.agent_ips[index]}:{self.worker_port}"

    def wait_ready(self, index: int) -> None:
        """Wait until an entry is ready."""
        address = f"{self.entry_ips[index]}:{self.ready}"
        self.wait(lambda: call(address, "GET", "/v1/readyz")[0] == 200)

    def wait_worker(self, index: int) -> None:
        """Wait until a worker answers."""
        address = self.worker(index)
        self.wait(lambda: call(address, "GET", "/starts")[0] == 200)

    def wait(self, holds: Any) -> None:
        """Wait until something holds.

        Raises:
            FleetError: It did not in time.

        """
        until_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until_s:
            try:
                if holds():
                    return
            except OSError:
                pass
            time.sleep(STEP_S)
        raise FleetError(self.logs())

    def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def log_of(self, name: str) -> str:
        """Return what a process has written."""
        return (Path(self.folder.name) / f"{name}.log").read_text()

    def logs(self) -> str:
        """Return the ends of what all processes have written."""
        return "\n".join(
            f"{path.name}: {path.read_text()[-800:]}"
            for path in sorted(Path(self.folder.name).glob("*.log"))
        )

    def breaches(self) -> list[str]:
        """Return all breaches that workers have noted."""
        return [
            breach
            for index in range(len(self.agent_ips))
            for breach in call(self.worker(index), "GET", "/breaches")[1]
        ]
