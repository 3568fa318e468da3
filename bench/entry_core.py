"""Measures the processor time of the entry's decisions for each task."""

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

__all__ = ["cost_per_task_us"]

SLOTS = 96
US_PER_S = 1e6


def make_core(agents: int) -> EntryCore:
    """Return a core that knows so many idle agents."""
    policy = EntryPolicy({"team": 10**9}, queue_limit=10**6, answer_retention_ms=1_000)
    core = EntryCore(EntryState("e", "r", "a", "dc", policy, random.Random(1)))
    for index in range(agents):
        shape = TargetShape("minion", slots=SLOTS)
        announce = wire.Announce(f"agent-{index}", "r", "dc", shape, 0)
        core.handle(announce, f"agent-{index}", 0)
    core.tick(10)
    return core


def run_jobs(core: EntryCore, jobs: int, tasks: int) -> float:
    """Run jobs through a core and return the seconds it took."""
    now_ms = 1_000
    result = TaskResult("answered", "text", "", 20)
    begun_s = time.process_time()
    for number in range(jobs):
        job = Job(
            f"j{number}",
            "team",
            60_000,
            tuple(Task(f"t{index}", "quote", True, "") for index in range(tasks)),
        )
        waiting = core.handle(events.Submit(number, job), "", now_ms)
        while waiting:
            following: list[effects.Effect] = []
            for effect in waiting:
                if not isinstance(effect, effects.Send):
                    continue
                message = effect.message
                if isinstance(message, wire.Start):
                    done = wire.Done(message.attempt, result, 0)
                    following += core.handle(done, effect.to, now_ms)
            waiting = following
        now_ms += 20
        core.tick(now_ms)
    return time.process_time() - begun_s


def cost_per_task_us(agents: int, jobs: int = 100, tasks: int = 200) -> float:
    """Return the processor time of one task in microseconds."""
    core = make_core(agents)
    run_jobs(core, 5, tasks)
    return run_jobs(core, jobs, tasks) / (jobs * tasks) * US_PER_S


def main(profile: bool = False) -> None:
    """Print the cost by the number of agents.

    Args:
        profile: Print where the time goes, for 6 agents.

    """
    if profile:
        profiler = cProfile.Profile()
        profiler.enable()
        cost_per_task_us(6)
        profiler.disable()
        pstats.Stats(profiler).sort_stats("tottime").print_stats(18)
        return
    for agents in (6, 30, 90, 270):
        print(f"{agents} agents: {cost_per_task_us(agents):.1f} us a task")


if __name__ == "__main__":
    cyclopts.run(main)
