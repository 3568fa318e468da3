"""Tests which tests count as listed in KNOWN-RED.txt."""

from __future__ import annotations

import pytest

from tests.conftest import KNOWN_RED_PATH
from tests.conftest import find_listed_tests
from tests.conftest import is_listed

LIST = """Known shortfalls.

1. A shortfall without a test
   command: python -m bench.soak --first 3

2. A failing test
   test: tests/a/test_b.py::test_c
   test: tests/a/test_b.py::test_d[1-x]
   command: pytest tests/a/test_b.py
"""


@pytest.mark.parametrize(
    ("node_id", "listed"),
    [
        ("tests/a/test_b.py::test_c", True),
        ("tests/a/test_b.py::test_c[2]", True),
        ("tests/a/test_b.py::test_d[1-x]", True),
        ("tests/a/test_b.py::test_d[1-y]", False),
        ("tests/a/test_b.py::test_cc", False),
        ("tests/a/test_b.py::test_d", False),
    ],
)
def test_only_tests_that_the_list_names_may_fail(node_id: str, listed: bool) -> None:
    assert is_listed(node_id, find_listed_tests(LIST)) is listed


def test_listed_tests_exist() -> None:
    for node_id in find_listed_tests(KNOWN_RED_PATH.read_text()):
        path, _, name = node_id.partition("::")
        source = (KNOWN_RED_PATH.parent / path).read_text()
        assert f"def {name.partition('[')[0]}(" in source
