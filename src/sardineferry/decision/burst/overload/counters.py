"""Names of the counters of jobs that were not served, by priority and reason."""

from __future__ import annotations

import re

__all__ = ["refusal_counter"]

# Numbers in a reason would make a counter of each of its values.
NON_LETTERS = re.compile(r"[^a-z]+")


def refusal_counter(what: str, priority: int, reason: str) -> str:
    """Return the name of a counter; metric names have no minus sign."""
    number = str(priority).replace("-", "minus_")
    words = NON_LETTERS.sub("_", reason.lower()).strip("_")
    return f"jobs_{what}_priority_{number}_{words}"
