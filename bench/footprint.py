"""What the deployed programs take: at their start, and while nothing happens.

``python -m bench.footprint start`` starts both programs several times and
tells their processor time until they serve. ``python -m bench.footprint idle
--agents 160`` links that many agents, which run in this process, to one entry;
``--entries 11`` links one agent to that many entries. Threads, processor time
and memory are those of the program that runs by itself.
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

__all__ = ["Sample", "main", "sample"]

SETTLE_S = 4.0
MEASURE_S = 10.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
GRACE_MS = 6_000
STARTED = re.compile(r'.*"Started\..*"processor_ms":(\d+)')

application = cyclopts.App(name="bench.footprint")


class Sample(NamedTuple):
    """What a process has used so far."""

    processor_s: float
    threads: int
    memory_mb: int


def sample(process_id: int) -> Sample:
    """Read a process's figures."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{process_id}/status").read_text()
    memory = re.search(r"VmRSS:\s+(\d+)", status)
    return Sample(
        (int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        int(fields[17]),
        int(memory[1]) // 1024 if memory else 0,
    )


def report_idle(name: str, process_id: int) -> None:
    """Print what a process takes over some seconds."""
    before = sample(process_id)
    time.sleep(MEASURE_S)
    after = sample(process_id)
    share = (after.processor_s - before.processor_s) / MEASURE_S
    print(
        f"{name}: {share:.4f} of a core, {after.threads} threads, {after.memory_mb} MB"
    )


@application.command
def start(plays: int = 9) -> None:
    """Tell the processor time of starts.

    Args:
        plays: How often each program is started.

    """
    with DeployedFleet(1, 1) as fleet:
        starts: dict[str, Callable[[int], None]] = {
            "entry-0": fleet.start_entry,
            "agent-0": fleet.start_agent,
        }
        for name, begin in starts.items():
            for _ in range(plays):
                fleet.kill(name)
                fleet.processes[name].wait(10)
                begin(0)
                time.sleep(1.0)
            found = [int(item) for item in STARTED.findall(fleet.log_of(name))]
            print(
                f"{name}: least {min(found)}, median {statistics.median(found)} ms "
                f"of processor time to serve, {len(found)} starts"
            )


@application.command
def idle(agents: int = 0, entries: int = 0) -> None:
    """Tell what a program takes while nothing happens.

    Args:
        agents: How many agents are linked to one entry.
        entries: How many entries one agent is linked to.

    """
    with DeployedFleet(1, 1) as fleet:
        address = f"{fleet.entry_ips[0]}:{fleet.link}"
        loop = IoLoop()
        for index in range(max(0, agents - 1)):
            add_agent(loop, index, address)
        for index in range(max(0, entries - 1)):
            add_entry(loop, index, fleet)
        loop.call_later(SETTLE_S, loop.stop)
        loop.run()
        loop.stopped = False
        name = "entry-0" if agents else "agent-0"
        child = os.fork()
        if child == 0:
            report_idle(name, fleet.processes[name].pid)
            os._exit(0)
        loop.call_later(MEASURE_S + 1.0, loop.stop)
        loop.run()
        os.waitpid(child, 0)


def add_agent(loop: IoLoop, index: int, entry: str) -> None:
    """Run an agent without a worker, linked to an entry."""
    mailbox, links = Mailbox(), LinkRegistry()
    state = BurstAgentState(f"agent-x{index}", "i", "gresik", "desk", 1, GRACE_MS)
    dialers = DialerPool(loop, CODEC, mailbox, links, random.Random())
    core = CoreLoop(
        BurstAgentCore(state), mailbox, lambda _effect: None, links, loop.stop
    )
    dialers.dial(entry)
    loop.pass_hooks.append(core)


def add_entry(loop: IoLoop, index: int, fleet: DeployedFleet) -> None:
    """Run an entry without callers, and register it."""
    mailbox, links = Mailbox(), LinkRegistry()
    listener = LinkListener(loop, "127.0.0.1:0", CODEC, mailbox, links)
    listener.start()
    state = BurstEntryState(
        f"entry-x{index}", "i", "gresik", GRACE_MS, no_configuration, random.Random()
    )
    core = CoreLoop(
        BurstEntryCore(state), mailbox, lambda _effect: None, links, loop.stop
    )
    mailbox.put(AddressesRead(()))
    loop.pass_hooks.append(core)
    place = EntryEndpoint(state.name, f"127.0.0.1:{listener.port}", "gresik", "i")
    entry_registration(loop, StoreClient(loop, fleet.store), place).start()


def no_configuration(_text: bytes) -> Result[Configuration, str]:
    """Decode nothing: the entries here have no callers."""
    return Failure("not needed")


def main() -> None:
    """Run the program."""
    application()


if __name__ == "__main__":
    main()
