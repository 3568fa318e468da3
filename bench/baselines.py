"""Simulates simple routing rules and an ideal one, for comparison."""

from __future__ import annotations

import heapq
import random
from collections import deque
from typing import TYPE_CHECKING

from bench.arrivals import target_slowness

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.arrivals import Arrival
    from bench.arrivals import Scenario

__all__ = ["BASELINES", "Responses", "simulate_baseline", "simulate_ideal"]

ONE_WAY_LATENCY_MS = 1.2

# Response times in ms: one per task, and one per job.
Responses = tuple[list[float], list[float]]
Choose = "Callable[[EntryView, random.Random], int]"


class EntryView:
    """What an entry knows of each target: its own outstanding tasks and run times."""

    def __init__(self, targets: int) -> None:
        """Start with no tasks and the same mean run time for all targets."""
        self.outstanding = [0] * targets
        self.mean_ms = [340.0] * targets
        self.choice_count = 0


def choose_random(view: EntryView, rng: random.Random) -> int:
    """Choose a target at random."""
    return rng.randrange(len(view.outstanding))


def choose_round_robin(view: EntryView, rng: random.Random) -> int:
    """Choose targets in turn."""
    view.choice_count += 1
    return view.choice_count % len(view.outstanding)


def choose_least_outstanding(view: EntryView, rng: random.Random) -> int:
    """Choose a target with the fewest outstanding tasks of this entry."""
    least = min(view.outstanding)
    return rng.choice(
        [index for index, count in enumerate(view.outstanding) if count == least]
    )


def choose_better_of_two(view: EntryView, rng: random.Random) -> int:
    """Choose the one of two random targets that has less expected work."""
    pair = rng.sample(range(len(view.outstanding)), 2)
    return min(
        pair, key=lambda index: (view.outstanding[index] + 1) * view.mean_ms[index]
    )


BASELINES = {
    "random": choose_random,
    "round robin": choose_round_robin,
    "least outstanding": choose_least_outstanding,
    "two choices x speed": choose_better_of_two,
}


def simulate_ideal(scenario: Scenario, arrivals: list[Arrival]) -> Responses:
    """Serve all jobs from one queue, on the fastest free slot, with no latency.

    Return the response times.
    """
    slowness = target_slowness(scenario)
    free_slots = [
        (slot_slowness, slot)
        for slot, slot_slowness in enumerate(slowness * scenario.slots)
    ]
    heapq.heapify(free_slots)
    running: list[tuple[float, float, int]] = []
    queue: deque[tuple[float, float, int]] = deque()
    task_times_ms: list[float] = []
    job_ends_ms = [0.0] * len(arrivals)

    def start_queued(now_ms: float) -> None:
        while queue and free_slots:
            arrived_ms, run_ms, job_index = queue.popleft()
            slot_slowness, slot = heapq.heappop(free_slots)
            end_ms = now_ms + run_ms * slot_slowness
            heapq.heappush(running, (end_ms, slot_slowness, slot))
            task_times_ms.append(end_ms - arrived_ms)
            job_ends_ms[job_index] = max(job_ends_ms[job_index], end_ms)

    def finish_runs_until(now_ms: float) -> None:
        while running and running[0][0] <= now_ms:
            end_ms, slot_slowness, slot = heapq.heappop(running)
            heapq.heappush(free_slots, (slot_slowness, slot))
            start_queued(end_ms)

    for job_index, arrival in enumerate(arrivals):
        finish_runs_until(arrival.at_ms)
        queue.extend(
            (arrival.at_ms, run_ms, job_index) for run_ms in arrival.run_times_ms
        )
        start_queued(arrival.at_ms)
    finish_runs_until(float("inf"))
    job_times_ms = [
        end - item.at_ms for end, item in zip(job_ends_ms, arrivals, strict=True)
    ]
    return task_times_ms, job_times_ms


def simulate_baseline(
    scenario: Scenario,
    arrivals: list[Arrival],
    choose: Callable[[EntryView, random.Random], int],
) -> Responses:
    """Send each task to the target that the rule chooses, and queue it there.

    Return the response times.
    """
    rng = random.Random(scenario.seed)
    slowness = target_slowness(scenario)
    views = [EntryView(scenario.targets) for _ in range(scenario.entries)]
    free_at_ms: list[list[float]] = [[0.0] * scenario.slots for _ in slowness]
    replies: list[tuple[float, int, int, float]] = []
    task_times_ms: list[float] = []
    job_times_ms: list[float] = []
    for arrival in arrivals:
        while replies and replies[0][0] <= arrival.at_ms:
            _, entry, target, run_on_target_ms = heapq.heappop(replies)
            views[entry].outstanding[target] -= 1
            views[entry].mean_ms[target] += 0.1 * (
                run_on_target_ms - views[entry].mean_ms[target]
            )
        view = views[arrival.entry]
        for run_ms in arrival.run_times_ms:
            target = choose(view, rng)
            view.outstanding[target] += 1
            start_ms = max(
                arrival.at_ms + ONE_WAY_LATENCY_MS, heapq.heappop(free_at_ms[target])
            )
            run_on_target_ms = run_ms * slowness[target]
            heapq.heappush(free_at_ms[target], start_ms + run_on_target_ms)
            reply_ms = start_ms + run_on_target_ms + ONE_WAY_LATENCY_MS
            heapq.heappush(replies, (reply_ms, arrival.entry, target, run_on_target_ms))
            task_times_ms.append(reply_ms - arrival.at_ms)
        job_times_ms.append(max(task_times_ms[-len(arrival.run_times_ms) :]))
    return task_times_ms, job_times_ms
