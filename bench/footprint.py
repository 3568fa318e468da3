"""Measures what the deployed programs use: at their start, and while idle.

``python -m bench.footprint start`` starts both programs several times and
prints their processor time until they serve. ``python -m bench.footprint idle
--agents 160`` links that many agents to one entry; ``--entries 11`` links one
agent to that many entries. The program that is measured runs as a process of
its own, the simulated programs at the other ends all in this process.
"""

from __future__ import annotations

import os
import random
import re
import statistics
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import NamedTuple

import cyclopts
from returns.result import Failure
from returns.result import Result

from bench.deployed_fleet import DeployedFleet
from sardineferry.core_loop import CoreLoop
from sardineferry.decision.burst.agent import BurstAgentCore
from sardineferry.decision.burst.agent import BurstAgentState
from sardineferry.decision.burst.entry import BurstEntryCore
from sardineferry.decision.burst.entry import BurstEntryState
from sardineferry.decision.common_events import AddressesRead
from sardineferry.loop import IoLoop
from sardineferry.mailbox import Mailbox
from sardineferry.messages.burst import CODEC
from sardineferry.messages.burst import EntryEndpoint
from sardineferry.platform.store import StoreClient
from sardineferry.platform.topic_watch import entry_registration
from sardineferry.transport import DialerPool
from sardineferry.transport import LinkListener
from sardineferry.transport import LinkRegistry

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardineferry.decision.burst.configuration import Configuration

__all__ = ["ProcessUsage", "main", "read_usage"]

SETTLE_AFTER_LINKING_S = 4.0
MEASUREMENT_S = 10.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
GRACE_MS = 6_000
STARTED_LOG_LINE = re.compile(r'.*"Started\..*"processor_ms":(\d+)')

application = cyclopts.App(name="bench.footprint")


class ProcessUsage(NamedTuple):
    """The processor time, threads and resident memory of a process so far."""

    processor_s: float
    threads: int
    memory_mb: int


def read_usage(process_id: int) -> ProcessUsage:
    """Read the usage of a process from /proc."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{process_id}/status").read_text()
    resident_kb = re.search(r"VmRSS:\s+(\d+)", status)
    return ProcessUsage(
        (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S,
        int(fields[17]),
        int(resident_kb[1]) // 1024 if resident_kb else 0,
    )


def report_idle(name: str, process_id: int) -> None:
    """Measure an idle process for ``MEASUREMENT_S``, and print its usage."""
    before = read_usage(process_id)
    time.sleep(MEASUREMENT_S)
    after = read_usage(process_id)
    cores = (after.processor_s - before.processor_s) / MEASUREMENT_S
    print(
        f"{name}: {cores:.4f} of a core, {after.threads} threads, {after.memory_mb} MB"
    )


@application.command
def start(plays: int = 9) -> None:
    """Measure the processor time of starts.

    Args:
        plays: Number of starts of each program.

    """
    with DeployedFleet(1, 1) as fleet:
        restart_by_name: dict[str, Callable[[int], None]] = {
            "entry-0": fleet.start_entry,
            "agent-0": fleet.start_agent,
        }
        for name, restart in restart_by_name.items():
            for _ in range(plays):
                fleet.kill(name)
                fleet.processes[name].wait(10)
                restart(0)
                time.sleep(1.0)
            processor_ms = [
                int(text) for text in STARTED_LOG_LINE.findall(fleet.read_log(name))
            ]
            print(
                f"{name}: least {min(processor_ms)}, "
                f"median {statistics.median(processor_ms)} ms of processor time to "
                f"serve, {len(processor_ms)} starts"
            )


@application.command
def idle(agents: int = 0, entries: int = 0) -> None:
    """Measure what a program uses while no jobs run.

    Args:
        agents: Number of agents linked to the entry, which is measured.
        entries: Number of entries that the agent, which is measured, is linked to.

    """
    with DeployedFleet(1, 1) as fleet:
        address = f"{fleet.entry_ips[0]}:{fleet.link_port}"
        loop = IoLoop()
        for index in range(max(0, agents - 1)):
            run_simulated_agent(loop, index, address)
        for index in range(max(0, entries - 1)):
            run_simulated_entry(loop, index, fleet)
        loop.call_later(SETTLE_AFTER_LINKING_S, loop.stop)
        loop.run()
        loop.stopped = False
        name = "entry-0" if agents else "agent-0"
        # The loop keeps this process busy, so that a child process measures.
        child_pid = os.fork()
        if child_pid == 0:
            report_idle(name, fleet.processes[name].pid)
            os._exit(0)
        loop.call_later(MEASUREMENT_S + 1.0, loop.stop)
        loop.run()
        os.waitpid(child_pid, 0)


def run_simulated_agent(loop: IoLoop, index: int, entry_address: str) -> None:
    """Run an agent without a worker on the loop, linked to an entry."""
    mailbox, links = Mailbox(), LinkRegistry()
    state = BurstAgentState(f"agent-x{index}", "i", "gresik", "desk", 1, GRACE_MS)
    dialers = DialerPool(loop, CODEC, mailbox, links, random.Random())
    core = CoreLoop(
        BurstAgentCore(state), mailbox, lambda _effect: None, links, loop.stop
    )
    dialers.dial(entry_address)
    loop.pass_hooks.append(core)


def run_simulated_entry(loop: IoLoop, index: int, fleet: DeployedFleet) -> None:
    """Run an entry without callers on the loop, and register it in the store."""
    mailbox, links = Mailbox(), LinkRegistry()
    listener = LinkListener(loop, "127.0.0.1:0", CODEC, mailbox, links)
    listener.start()
    state = BurstEntryState(
        f"entry-x{index}",
        "i",
        "gresik",
        GRACE_MS,
        reject_configuration,
        random.Random(),
    )
    core = CoreLoop(
        BurstEntryCore(state), mailbox, lambda _effect: None, links, loop.stop
    )
    mailbox.put(AddressesRead(()))
    loop.pass_hooks.append(core)
    endpoint = EntryEndpoint(state.name, f"127.0.0.1:{listener.port}", "gresik", "i")
    entry_registration(loop, StoreClient(loop, fleet.store_address), endpoint).start()


def reject_configuration(_text: bytes) -> Result[Configuration, str]:
    """Reject every configuration: entries without callers need none."""
    return Failure("not needed")


def main() -> None:
    """Run the command that the arguments name."""
    application()


if __name__ == "__main__":
    main()
