"""Simple routing rules to compare with, and the ideal."""

from __future__ import annotations

import heapq
import random
from collections import deque
from typing import TYPE_CHECKING

from bench.arrivals import spread_slowness

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.arrivals import Arrival
    from bench.arrivals import Shape

__all__ = ["BASELINES", "Responses", "run_baseline", "run_ideal"]

LATENCY_MS = 1.2

# Response times in ms, task by task and job by job.
Responses = tuple[list[float], list[float]]
Choose = "Callable[[EntryView, random.Random], int]"


class EntryView:
    """What one entry knows: its own outstanding count and learned speeds."""

    def __init__(self, targets: int) -> None:
        """Start without knowledge."""
        self.outstanding = [0] * targets
        self.mean_ms = [340.0] * targets
        self.turn = 0


def choose_random(view: EntryView, source: random.Random) -> int:
    """Choose any target."""
    return source.randrange(len(view.outstanding))


def choose_in_turn(view: EntryView, source: random.Random) -> int:
    """Choose targets in turn."""
    view.turn += 1
    return view.turn % len(view.outstanding)


def choose_least(view: EntryView, source: random.Random) -> int:
    """Choose the target with the least outstanding by own count."""
    least = min(view.outstanding)
    return source.choice(
        [index for index, count in enumerate(view.outstanding) if count == least]
    )


def choose_of_two(view: EntryView, source: random.Random) -> int:
    """Choose the better of two by outstanding and learned speed."""
    pair = source.sample(range(len(view.outstanding)), 2)
    return min(
        pair, key=lambda index: (view.outstanding[index] + 1) * view.mean_ms[index]
    )


BASELINES = {
    "random": choose_random,
    "round robin": choose_in_turn,
    "least outstanding": choose_least,
    "two choices x speed": choose_of_two,
}


def run_ideal(shape: Shape, arrivals: list[Arrival]) -> Responses:
    """Serve from one queue, the fastest free slot first, without a network."""
    slowness = spread_slowness(shape)
    free = [(slow, index) for index, slow in enumerate(slowness * shape.slots)]
    heapq.heapify(free)
    ends: list[tuple[float, float, int]] = []
    waiting: deque[tuple[float, float, int]] = deque()
    tasks: list[float] = []
    done_ms = [0.0] * len(arrivals)

    def serve(now_ms: float) -> None:
        while waiting and free:
            arrived_ms, run_ms, job = waiting.popleft()
            slow, index = heapq.heappop(free)
            end_ms = now_ms + run_ms * slow
            heapq.heappush(ends, (end_ms, slow, index))
            tasks.append(end_ms - arrived_ms)
            done_ms[job] = max(done_ms[job], end_ms)

    def finish_until(now_ms: float) -> None:
        while ends and ends[0][0] <= now_ms:
            end_ms, slow, index = heapq.heappop(ends)
            heapq.heappush(free, (slow, index))
            serve(end_ms)

    for job, arrival in enumerate(arrivals):
        finish_until(arrival.at_ms)
        waiting.extend((arrival.at_ms, run_ms, job) for run_ms in arrival.runs_ms)
        serve(arrival.at_ms)
    finish_until(float("inf"))
    jobs = [end - item.at_ms for end, item in zip(done_ms, arrivals, strict=True)]
    return tasks, jobs


def run_baseline(
    shape: Shape,
    arrivals: list[Arrival],
    choose: Callable[[EntryView, random.Random], int],
) -> Responses:
    """Serve by a rule; each target has a queue of its own."""
    source = random.Random(shape.seed)
    slowness = spread_slowness(shape)
    views = [EntryView(shape.targets) for _ in range(shape.entries)]
    slots: list[list[float]] = [[0.0] * shape.slots for _ in slowness]
    replies: list[tuple[float, int, int, float]] = []
    tasks: list[float] = []
    jobs: list[float] = []
    for arrival in arrivals:
        while replies and replies[0][0] <= arrival.at_ms:
            _, entry, index, took_ms = heapq.heappop(replies)
            views[entry].outstanding[index] -= 1
            views[entry].mean_ms[index] += 0.1 * (took_ms - views[entry].mean_ms[index])
        view = views[arrival.entry]
        for run_ms in arrival.runs_ms:
            index = choose(view, source)
            view.outstanding[index] += 1
            begin_ms = max(arrival.at_ms + LATENCY_MS, heapq.heappop(slots[index]))
            took_ms = run_ms * slowness[index]
            heapq.heappush(slots[index], begin_ms + took_ms)
            back_ms = begin_ms + took_ms + LATENCY_MS
            heapq.heappush(replies, (back_ms, arrival.entry, index, took_ms))
            tasks.append(back_ms - arrival.at_ms)
        jobs.append(max(tasks[-len(arrival.runs_ms) :]))
    return tasks, jobs
