"""The faults of the brief, as actions on a world."""

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
    """What strikes, and what ends it ``lasting_ms`` later."""

    strike: Callable[[Simulation], None]
    end: Callable[[Simulation], None]
    lasting_ms: float


def nothing(world: Simulation) -> None:
    """End a fault that ends by itself."""


def kill_agent(world: Simulation) -> None:
    """Kill an agent with its start table."""
    world.kill("agent-0")


def restart_agent(world: Simulation) -> None:
    """Bring the agent back at the same address."""
    world.restart("agent-0")


def pause_agent(world: Simulation) -> None:
    """Freeze an agent."""
    world.pause("agent-0")


def resume_agent(world: Simulation) -> None:
    """Let the agent go on."""
    world.resume("agent-0")


def kill_entry(world: Simulation) -> None:
    """Kill an entry with its jobs."""
    world.kill("entry-0")


def restart_entry(world: Simulation) -> None:
    """Bring the entry back at the same address."""
    world.restart("entry-0")


def pause_entry(world: Simulation) -> None:
    """Freeze an entry."""
    world.pause("entry-0")


def resume_entry(world: Simulation) -> None:
    """Let the entry go on."""
    world.resume("entry-0")


def cut_agent(world: Simulation) -> None:
    """Cut one entry off from one agent."""
    world.partition("entry-0", "agent-0")


def cut_entry(world: Simulation) -> None:
    """Cut one entry off from everything but its callers."""
    for name in (*world.agents, *world.entries, "log"):
        if name != "entry-0":
            world.partition("entry-0", name)


def cut_peers(world: Simulation) -> None:
    """Cut the entries off from each other."""
    world.partition("entry-0", "entry-1")


def hold_agent(world: Simulation) -> None:
    """Delay what one entry and one agent send to each other."""
    world.delay_messages("entry-0", "agent-0")


def heal(world: Simulation) -> None:
    """End partitions and delays."""
    world.heal()


def log_down(world: Simulation) -> None:
    """Begin an outage of the log."""
    world.log.down = True


def log_up(world: Simulation) -> None:
    """End an outage of the log."""
    world.log.down = False


def log_slow(world: Simulation) -> None:
    """Make every call of the log slow."""
    world.log.slow_ms = 400


def log_fast(world: Simulation) -> None:
    """Make the log fast again."""
    world.log.slow_ms = 0


def log_loses_answers(world: Simulation) -> None:
    """Let the next appends act but look failed."""
    world.log.lose_answers += 3


def target_fails(world: Simulation) -> None:
    """Let one target fail everything that it starts."""
    world.nodes["agent-0"].target.failing = True


def target_works(world: Simulation) -> None:
    """Mend the target."""
    world.nodes["agent-0"].target.failing = False


def target_down(world: Simulation) -> None:
    """Let one target refuse connections."""
    world.nodes["agent-0"].target.down = True


def target_up(world: Simulation) -> None:
    """Let the target accept connections."""
    world.nodes["agent-0"].target.down = False


def target_stalls(world: Simulation) -> None:
    """Make one target a straggler."""
    world.nodes["agent-0"].target.stall_ms = 1_500


def target_recovers(world: Simulation) -> None:
    """End the stall."""
    world.nodes["agent-0"].target.stall_ms = 0


def drain_agent(world: Simulation) -> None:
    """Retire an agent."""
    world.drain("agent-0")


def drain_entry(world: Simulation) -> None:
    """Stop an entry gracefully."""
    world.drain("entry-0")


def cancel_wave(world: Simulation) -> None:
    """Cancel every job at every entry."""
    for item in list(world.history.submitted):
        for entry in world.entries:
            world.cancel(entry, item.job.submission)


def race_presets(world: Simulation) -> None:
    """Let two operators change the preset at once."""
    version = world.nodes["entry-0"].core.state.preset.version
    world.set_preset("entry-0", "peak", version)
    world.set_preset("entry-1", "maintenance", version)


def back_to_ordinary(world: Simulation) -> None:
    """Return to the ordinary preset."""
    version = max(node.core.state.preset.version for node in world.nodes.values())
    world.set_preset("entry-1", "ordinary", version)


FAULTS = {
    "kill_agent": Fault(kill_agent, restart_agent, 1_000),
    "kill_agent_for_long": Fault(kill_agent, restart_agent, 7_000),
    "pause_agent_briefly": Fault(pause_agent, resume_agent, 1_500),
    "pause_agent_past_lease": Fault(pause_agent, resume_agent, 7_000),
    "kill_entry": Fault(kill_entry, restart_entry, 1_000),
    "kill_entry_for_long": Fault(kill_entry, restart_entry, 7_000),
    "pause_entry_briefly": Fault(pause_entry, resume_entry, 1_500),
    "pause_entry_for_long": Fault(pause_entry, resume_entry, 7_000),
    "cut_agent": Fault(cut_agent, heal, 3_000),
    "cut_entry": Fault(cut_entry, heal, 6_000),
    "cut_peers": Fault(cut_peers, heal, 6_000),
    "hold_agent": Fault(hold_agent, heal, 3_000),
    "log_down": Fault(log_down, log_up, 4_000),
    "log_slow": Fault(log_slow, log_fast, 4_000),
    "log_loses_answers": Fault(log_loses_answers, nothing, 0),
    "target_fails": Fault(target_fails, target_works, 3_000),
    "target_down": Fault(target_down, target_up, 3_000),
    "target_stalls": Fault(target_stalls, target_recovers, 3_000),
    "drain_agent": Fault(drain_agent, restart_agent, 5_000),
    "drain_entry": Fault(drain_entry, restart_entry, 5_000),
    "cancel_wave": Fault(cancel_wave, nothing, 0),
    "race_presets": Fault(race_presets, back_to_ordinary, 2_000),
}
