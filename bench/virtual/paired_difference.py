"""Compares two variants of the code by simulated loads with the same seeds.

``python -m bench.virtual.burst_load --seeds 10 --output FILE``, run with each variant
on the path, writes what ``python -m bench.virtual.paired_difference BASE VARIANT``
compares.
"""

from __future__ import annotations

import math
import statistics
from pathlib import Path
from typing import NamedTuple

import cyclopts
import msgspec

__all__ = ["PairedDifference", "compare"]

# Two-sided 95% quantiles of Student's t distribution, by degrees of freedom; from 30
# on that of the normal distribution is close enough.
T_QUANTILES = (
    *(12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23),
    *(2.20, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.10, 2.09, 2.09),
    *(2.08, 2.07, 2.07, 2.06, 2.06, 2.06, 2.05, 2.05, 2.05),
)
NORMAL_QUANTILE = 1.96


class PairedDifference(NamedTuple):
    """Mean difference of pairs, and the half width of its 95% confidence interval."""

    mean: float
    half_width: float


def compare(base: list[float], variant: list[float]) -> PairedDifference:
    """Return how much a variant is above its base, seed by seed.

    Raises:
        ValueError: The lists differ in length, or have fewer than two values.

    """
    differences = [after - before for before, after in zip(base, variant, strict=True)]
    if len(differences) < 2:
        raise ValueError("a confidence interval needs two pairs or more")
    freedom = len(differences) - 1
    quantile = (
        T_QUANTILES[freedom - 1] if freedom <= len(T_QUANTILES) else NORMAL_QUANTILE
    )
    error = statistics.stdev(differences) / math.sqrt(len(differences))
    return PairedDifference(statistics.mean(differences), quantile * error)


app = cyclopts.App(name="bench.virtual.paired_difference")


@app.default
def main(base: Path, variant: Path) -> None:
    """Print the difference of each load.

    Args:
        base: The file that ``burst_load`` wrote with the code to compare with.
        variant: The file that it wrote with the changed code, with as many seeds.

    """
    results = dict[str, list[float]]
    base_worth = msgspec.json.decode(base.read_bytes(), type=results)
    variant_worth = msgspec.json.decode(variant.read_bytes(), type=results)
    for load, worth in base_worth.items():
        mean, half_width = compare(worth, variant_worth[load])
        print(f"{load:12s} {mean:+.4f} +- {half_width:.4f}")


if __name__ == "__main__":
    app()
