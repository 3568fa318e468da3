"""The faults that can be injected, and the points at which they start."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from bench.virtual.simulation import Simulation

__all__ = ["FAULTS", "INJECTION_POINTS", "Fault"]

INJECTION_POINTS = (
    "before_send",
    "after_send",
    "after_start",
    "after_finish",
    "before_answer",
    "on_answer",
    "before_append",
    "after_append",
)


class Fault(NamedTuple):
    """The action that starts a fault and the one that ends it ``duration_ms`` later."""

    start: Callable[[Simulation], None]
    end: Callable[[Simulation], None]
    duration_ms: float


def do_nothing(simulation: Simulation) -> None:
    """Do nothing: the fault ends by itself."""


def kill_agent(simulation: Simulation) -> None:
    """Kill an agent; its start table is lost."""
    simulation.kill("agent-0")


def restart_agent(simulation: Simulation) -> None:
    """Restart the agent at the same address."""
    simulation.restart("agent-0")


def pause_agent(simulation: Simulation) -> None:
    """Pause the process of an agent."""
    simulation.pause("agent-0")


def resume_agent(simulation: Simulation) -> None:
    """Resume the agent."""
    simulation.resume("agent-0")


def kill_entry(simulation: Simulation) -> None:
    """Kill an entry; its jobs are lost."""
    simulation.kill("entry-0")


def restart_entry(simulation: Simulation) -> None:
    """Restart the entry at the same address."""
    simulation.restart("entry-0")


def pause_entry(simulation: Simulation) -> None:
    """Pause the process of an entry."""
    simulation.pause("entry-0")


def resume_entry(simulation: Simulation) -> None:
    """Resume the entry."""
    simulation.resume("entry-0")


def partition_agent(simulation: Simulation) -> None:
    """Partition one entry from one agent."""
    simulation.partition("entry-0", "agent-0")


def isolate_entry(simulation: Simulation) -> None:
    """Partition an entry from all agents, other entries and the log.

    Its callers still reach it.
    """
    for name in (*simulation.agents, *simulation.entries, "log"):
        if name != "entry-0":
            simulation.partition("entry-0", name)


def partition_entries(simulation: Simulation) -> None:
    """Partition two entries from each other."""
    simulation.partition("entry-0", "entry-1")


def delay_agent_messages(simulation: Simulation) -> None:
    """Delay the messages between one entry and one agent."""
    simulation.delay_messages("entry-0", "agent-0")


def end_partitions_and_delays(simulation: Simulation) -> None:
    """End all partitions and delays."""
    simulation.heal()


def start_log_outage(simulation: Simulation) -> None:
    """Make all calls of the log fail."""
    simulation.log.down = True


def end_log_outage(simulation: Simulation) -> None:
    """End the outage of the log."""
    simulation.log.down = False


def slow_log(simulation: Simulation) -> None:
    """Add 400 ms to each call of the log."""
    simulation.log.slow_ms = 400


def restore_log_speed(simulation: Simulation) -> None:
    """End the delay of the log."""
    simulation.log.slow_ms = 0


def lose_log_answers(simulation: Simulation) -> None:
    """Report a failure for the next 3 appends, which take effect."""
    simulation.log.lose_answers += 3


def start_target_errors(simulation: Simulation) -> None:
    """Make one target end each run with an error."""
    simulation.nodes["agent-0"].target.failing = True


def end_target_errors(simulation: Simulation) -> None:
    """End the errors of the target."""
    simulation.nodes["agent-0"].target.failing = False


def refuse_target_connections(simulation: Simulation) -> None:
    """Make one target refuse connections."""
    simulation.nodes["agent-0"].target.down = True


def accept_target_connections(simulation: Simulation) -> None:
    """Make the target accept connections again."""
    simulation.nodes["agent-0"].target.down = False


def start_target_stall(simulation: Simulation) -> None:
    """Add 1.5 s to the time of each run of one target."""
    simulation.nodes["agent-0"].target.stall_ms = 1_500


def end_target_stall(simulation: Simulation) -> None:
    """End the stall of the target."""
    simulation.nodes["agent-0"].target.stall_ms = 0


def drain_agent(simulation: Simulation) -> None:
    """Make an agent drain."""
    simulation.drain("agent-0")


def drain_entry(simulation: Simulation) -> None:
    """Make an entry drain."""
    simulation.drain("entry-0")


def cancel_all_jobs(simulation: Simulation) -> None:
    """Cancel every job submitted so far, at every entry."""
    for submitted in list(simulation.history.submitted):
        for entry in simulation.entries:
            simulation.cancel(entry, submitted.job.submission)


def change_preset_concurrently(simulation: Simulation) -> None:
    """Change the preset at two entries at once, both from the same version."""
    version = simulation.nodes["entry-0"].core.state.preset.version
    simulation.set_preset("entry-0", "peak", version)
    simulation.set_preset("entry-1", "maintenance", version)


def restore_ordinary_preset(simulation: Simulation) -> None:
    """Set the ordinary preset again."""
    version = max(node.core.state.preset.version for node in simulation.nodes.values())
    simulation.set_preset("entry-1", "ordinary", version)


# bench.search and the tests draw from the sorted names: a renamed or added fault
# can change which faults follow from a seed.
FAULTS = {
    "kill_agent": Fault(kill_agent, restart_agent, 1_000),
    "kill_agent_for_long": Fault(kill_agent, restart_agent, 7_000),
    "pause_agent_briefly": Fault(pause_agent, resume_agent, 1_500),
    "pause_agent_past_lease": Fault(pause_agent, resume_agent, 7_000),
    "kill_entry": Fault(kill_entry, restart_entry, 1_000),
    "kill_entry_for_long": Fault(kill_entry, restart_entry, 7_000),
    "pause_entry_briefly": Fault(pause_entry, resume_entry, 1_500),
    "pause_entry_for_long": Fault(pause_entry, resume_entry, 7_000),
    "cut_agent": Fault(partition_agent, end_partitions_and_delays, 3_000),
    "cut_entry": Fault(isolate_entry, end_partitions_and_delays, 6_000),
    "cut_peers": Fault(partition_entries, end_partitions_and_delays, 6_000),
    "hold_agent": Fault(delay_agent_messages, end_partitions_and_delays, 3_000),
    "log_down": Fault(start_log_outage, end_log_outage, 4_000),
    "log_slow": Fault(slow_log, restore_log_speed, 4_000),
    "log_loses_answers": Fault(lose_log_answers, do_nothing, 0),
    "target_fails": Fault(start_target_errors, end_target_errors, 3_000),
    "target_down": Fault(refuse_target_connections, accept_target_connections, 3_000),
    "target_stalls": Fault(start_target_stall, end_target_stall, 3_000),
    "drain_agent": Fault(drain_agent, restart_agent, 5_000),
    "drain_entry": Fault(drain_entry, restart_entry, 5_000),
    "cancel_wave": Fault(cancel_all_jobs, do_nothing, 0),
    "race_presets": Fault(change_preset_concurrently, restore_ordinary_preset, 2_000),
}
