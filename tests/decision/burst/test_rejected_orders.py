"""Tests what becomes of messages that can't be encoded."""

from __future__ import annotations

import pytest

from sardineferry.decision.burst.overload.backlog import WaitingWork
from sardineferry.decision.burst.overload.backlog import add_up_work
from sardineferry.decision.burst.requests import BurstReply
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.events import SendRejected
from sardineferry.messages.burst import CODEC
from sardineferry.messages.burst import EntryBeat
from sardineferry.messages.burst import StartRuns
from tests.decision.burst.drive import TOTAL
from tests.decision.burst.drive import EntryDriver
from tests.decision.burst.drive import job
from tests.decision.burst.drive import sent
from tests.decision.burst.drive import submit


def test_job_of_an_order_that_was_not_sent_is_answered_as_not_run() -> None:
    entry = EntryDriver("a")
    effects = entry.handle(submit(1, job(1, tasks=2, estimate_ms=2**64)))
    effects += entry.handle(submit(2, job(2)))
    bad, good = sent(effects, StartRuns)
    assert CODEC.split([bad, good]) == ([good], [bad])
    effects = entry.handle(SendRejected("a", bad))
    assert [(reply.token, reply.kind) for reply in sent(effects, BurstReply)] == [
        (1, ReplyKind.NOT_RUN)
    ]
    view = entry.state.agents["a"]
    assert set(view.runs) == set(good.runs)
    assert view.available == TOTAL.minus(good.need)
    assert entry.state.counters["orders_rejected"] == 1


@pytest.mark.parametrize("message", [EntryBeat(1, ()), object()])
def test_other_messages_that_were_not_sent_end_no_job(message: object) -> None:
    entry = EntryDriver("a")
    entry.handle(submit(1, job(1)))
    effects = entry.handle(SendRejected("a", message))
    assert not sent(effects, BurstReply)
    assert len(entry.state.jobs) == 1


@pytest.mark.parametrize("work", [1.0, 2.0**63, 1e40])
def test_statement_of_waiting_work_can_be_encoded(work: float) -> None:
    waiting = add_up_work([WaitingWork(0, work), WaitingWork(0, work)])
    assert CODEC.split([EntryBeat(1, (), waiting)]).rejected == []


def test_caller_is_answered_at_once_if_its_request_cannot_be_processed() -> None:
    entry = EntryDriver("a")
    unprocessable = submit(1, job(1))._replace(path=None)  # type: ignore[arg-type]
    with pytest.raises(TypeError):
        entry.handle(unprocessable)
    replies = sent(entry.core.take_effects(), BurstReply)
    assert [(reply.token, reply.kind) for reply in replies] == [
        (1, ReplyKind.NO_ANSWER)
    ]
