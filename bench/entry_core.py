"""Measures the processor time per task of the entry's decision code."""

from __future__ import annotations

import cProfile
import pstats
import random
import time

import cyclopts

from sardineferry.decision import effects
from sardineferry.decision import events
from sardineferry.decision.entry import EntryCore
from sardineferry.decision.entry import EntryPolicy
from sardineferry.decision.entry import EntryState
from sardineferry.messages import wire
from sardineferry.messages.job import Job
from sardineferry.messages.job import Task
from sardineferry.messages.job import TaskResult
from sardineferry.messages.target import TargetShape

__all__ = ["measure_task_us"]

SLOTS_PER_AGENT = 96
US_PER_S = 1e6


def make_core(agents: int) -> EntryCore:
    """Return the core of an entry with so many idle agents."""
    policy = EntryPolicy({"team": 10**9}, queue_limit=10**6, answer_retention_ms=1_000)
    core = EntryCore(EntryState("e", "r", "a", "dc", policy, random.Random(1)))
    for index in range(agents):
        shape = TargetShape("minion", slots=SLOTS_PER_AGENT)
        announce = wire.Announce(f"agent-{index}", "r", "dc", shape, 0)
        core.handle(announce, f"agent-{index}", 0)
    core.tick(10)
    return core


def run_jobs(core: EntryCore, jobs: int, tasks: int) -> float:
    """Run jobs through a core, and return the processor time in seconds.

    Each start is answered at once.
    """
    now_ms = 1_000
    result = TaskResult("answered", "text", "", 20)
    started_s = time.process_time()
    for job_number in range(jobs):
        job = Job(
            f"j{job_number}",
            "team",
            60_000,
            tuple(Task(f"t{index}", "quote", True, "") for index in range(tasks)),
        )
        effects_to_apply = core.handle(events.Submit(job_number, job), "", now_ms)
        while effects_to_apply:
            next_effects: list[effects.Effect] = []
            for effect in effects_to_apply:
                if not isinstance(effect, effects.Send):
                    continue
                message = effect.message
                if isinstance(message, wire.Start):
                    done = wire.Done(message.attempt, result, 0)
                    next_effects += core.handle(done, effect.to, now_ms)
            effects_to_apply = next_effects
        now_ms += 20
        core.tick(now_ms)
    return time.process_time() - started_s


def measure_task_us(agents: int, jobs: int = 100, tasks: int = 200) -> float:
    """Return the processor time per task in microseconds, after a warm-up."""
    core = make_core(agents)
    run_jobs(core, 5, tasks)
    return run_jobs(core, jobs, tasks) / (jobs * tasks) * US_PER_S


def main(profile: bool = False) -> None:
    """Print the cost per task for several numbers of agents.

    Args:
        profile: Print a profile for 6 agents instead.

    """
    if profile:
        profiler = cProfile.Profile()
        profiler.enable()
        measure_task_us(6)
        profiler.disable()
        pstats.Stats(profiler).sort_stats("tottime").print_stats(18)
        return
    for agents in (6, 30, 90, 270):
        print(f"{agents} agents: {measure_task_us(agents):.1f} us a task")


if __name__ == "__main__":
    cyclopts.run(main)
