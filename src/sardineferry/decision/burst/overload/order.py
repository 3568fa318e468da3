"""The order in which waiting jobs are served, and which agents are withheld.

Started jobs come first, as their work would be lost otherwise; then jobs by priority,
and those of one priority by latest start. See docs/design/overload.md.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sardineferry.decision.burst.configuration import Route

__all__ = [
    "WaitingJob",
    "WithheldAgents",
    "find_prioritised_services",
    "is_served_before",
    "service_order",
]


class WaitingJob(NamedTuple):
    """A job with tasks that are not placed.

    A lower ``priority`` is more urgent. ``work`` is that of the waiting tasks, in
    thousandths of a core times ms. ``may_be_given_up`` is false if the job has
    started or another entry runs it.
    """

    job_id: str
    priority: int
    arrived_ms: int
    latest_start_ms: int
    work: float
    is_started: bool = False
    may_be_given_up: bool = True

    def rank(self) -> tuple[bool, int, int]:
        """Return the arguments of ``service_order``."""
        return (self.is_started, self.priority, self.latest_start_ms)


def find_prioritised_services(routes: Iterable[Route]) -> dict[str, int]:
    """Return the services whose routes have different priorities.

    The values are the most urgent priority of each.
    """
    priorities: dict[str, set[int]] = {}
    for route in routes:
        priorities.setdefault(route.service, set()).add(route.priority)
    return {
        service: min(different)
        for service, different in priorities.items()
        if len(different) > 1
    }


def service_order(
    is_started: bool, priority: int, latest_start_ms: float
) -> tuple[bool, int, float]:
    """Return the sort key by which waiting jobs are served."""
    return (not is_started, priority, latest_start_ms)


def is_served_before(job: WaitingJob, priority: int, latest_start_ms: float) -> bool:
    """Return whether a waiting job is served before an unstarted one like this."""
    return service_order(*job.rank()) <= service_order(False, priority, latest_start_ms)


class WithheldAgents:
    """The agents that jobs wait for, and from whom they are withheld.

    An agent is withheld from jobs of the same or a lower priority than the most
    urgent job that waits for it.
    """

    def __init__(self) -> None:
        """Withhold no agents."""
        self.priorities: dict[str, int] = {}

    def withhold(self, names: Iterable[str], priority: int) -> None:
        """Withhold agents that a job of this priority waits for."""
        for name in names:
            known = self.priorities.get(name, priority)
            self.priorities[name] = min(known, priority)

    def are_withheld(self, names: Iterable[str], priority: int) -> bool:
        """Return whether all these agents are withheld from jobs of this priority."""
        return all(self.is_withheld(name, priority) for name in names)

    def is_withheld(self, name: str, priority: int) -> bool:
        """Return whether an agent is withheld from jobs of this priority."""
        withheld_by = self.priorities.get(name)
        return withheld_by is not None and withheld_by <= priority
