"""Tests heartbeats that name workers which do not exist.

Load pattern: a writer that is not the worker sends heartbeats with ever new ids.
"""

from __future__ import annotations

import pytest

from sardineferry.decision.burst.agent_worker import MAX_REPORTED_INCARNATIONS
from tests.decision.burst.drive import AgentDriver

REPORTS = 4 * MAX_REPORTED_INCARNATIONS


@pytest.mark.parametrize("same_id", [False, True])
def test_agent_keeps_a_bounded_number_of_invented_workers(same_id: bool) -> None:
    agent = AgentDriver()
    for number in range(REPORTS):
        worker = "w" if same_id else f"x-{number}"
        agent.handle(agent.report(1, worker, born_ms=number + 2))
        agent.hold(born_ms=1)
        agent.now_ms += 1
        # Again, so that the rejected incarnation is ignored.
        agent.handle(agent.report(2, worker, born_ms=number + 2))
    assert len(agent.state.rejected_candidates) <= MAX_REPORTED_INCARNATIONS
    assert len(agent.state.ignored_reports) <= MAX_REPORTED_INCARNATIONS
    assert len(agent.state.past_incarnations) <= MAX_REPORTED_INCARNATIONS
    assert agent.state.worker is not None
    assert agent.state.worker.report.worker_id == "w"
