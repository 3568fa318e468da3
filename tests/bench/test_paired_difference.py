"""Tests the comparison of two variants by paired seeds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest
from bench.virtual.paired_difference import compare
from bench.virtual.paired_difference import main

if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize(
    ("base", "variant", "mean", "half_width"),
    [
        ([1.0, 2.0, 3.0], [2.0, 3.0, 4.0], 1.0, 0.0),
        ([0.0, 0.0], [1.0, 3.0], 2.0, 12.71),
        # The textbook's example: differences with a standard deviation of 1.
        ([0.0] * 3, [1.0, 2.0, 3.0], 2.0, 4.30 / 3**0.5),
        ([0.0] * 40, [0.5] * 40, 0.5, 0.0),
    ],
)
def test_paired_difference_and_its_interval(
    base: list[float], variant: list[float], mean: float, half_width: float
) -> None:
    difference = compare(base, variant)
    assert difference.mean == pytest.approx(mean)
    assert difference.half_width == pytest.approx(half_width)


@pytest.mark.parametrize(
    ("base", "variant"), [([1.0], [2.0]), ([1.0, 2.0], [1.0, 2.0, 3.0])]
)
def test_pairs_are_needed(base: list[float], variant: list[float]) -> None:
    with pytest.raises(ValueError, match=r"pairs|longer"):
        compare(base, variant)


def test_difference_of_each_load_is_printed(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    paths = [tmp_path / "base.json", tmp_path / "variant.json"]
    for path, worth in zip(paths, ([0.5, 0.5], [0.6, 0.6]), strict=True):
        path.write_bytes(msgspec.json.encode({"calm": worth}))
    main(*paths)
    assert capsys.readouterr().out.split() == ["calm", "+0.1000", "+-", "0.0000"]
