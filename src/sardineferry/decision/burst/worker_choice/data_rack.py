"""Takes into account where a job's data is.

A job may name the rack of its data. A run on a worker of another rack takes longer by
a factor that the operator sets, which counts like a higher slowdown of the worker. An
order to such a worker states the work that is to be expected there. Otherwise the
worker would seem slow afterwards.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["DEFAULT_REMOTE_FACTOR", "data_factor", "is_in_rack", "slowdowns_with_data"]

# Runs take as long in any rack.
DEFAULT_REMOTE_FACTOR = 1.0
# A worker's kind is its first label, its rack the second one.
RACK_LABEL = 1


def is_in_rack(labels: tuple[str, ...], rack: str) -> bool:
    """Return whether a worker is in a rack; without a rack label it is in none."""
    return len(labels) > RACK_LABEL and labels[RACK_LABEL] == rack


def data_factor(labels: tuple[str, ...], rack: str, remote_factor: float) -> float:
    """Return by which factor a run takes longer because of its job's data.

    ``rack`` is empty if the job names none.
    """
    return remote_factor if rack and not is_in_rack(labels, rack) else 1.0


def slowdowns_with_data(
    slowdowns: dict[str, float], workers_in_rack: Iterable[str], remote_factor: float
) -> dict[str, float]:
    """Return all workers' slowdowns for a job whose data is in the rack of some."""
    combined = {name: slowdown * remote_factor for name, slowdown in slowdowns.items()}
    for name in workers_in_rack:
        combined[name] = slowdowns[name]
    return combined
