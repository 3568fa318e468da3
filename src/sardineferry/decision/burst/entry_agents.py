"""The entry's rules on agents: links, room, signs of life, ends of runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.decision.burst import timing
from sardineferry.decision.burst.effects import DropLink
from sardineferry.decision.burst.effects import LogDecision
from sardineferry.decision.burst.entry_callers import finish
from sardineferry.decision.burst.entry_rules import handle_entry_event
from sardineferry.decision.burst.entry_state import AgentView
from sardineferry.decision.burst.requests import ReplyKind
from sardineferry.decision.burst.speed import LearnedSpeed
from sardineferry.decision.burst.worker import StartAnswer
from sardineferry.decision.link_effects import Send
from sardineferry.decision.link_events import LinkDown
from sardineferry.messages.burst import ENDED_DONE
from sardineferry.messages.burst import ENDED_FAILED
from sardineferry.messages.burst import ENDED_LOST
from sardineferry.messages.burst import ENDED_REFUSED
from sardineferry.messages.burst import REASON_STALLED
from sardineferry.messages.burst import AgentBeat
from sardineferry.messages.burst import EntryBeat
from sardineferry.messages.burst import EntryWelcome
from sardineferry.messages.burst import HeldRuns
from sardineferry.messages.burst import RunEnded
from sardineferry.messages.burst import WorkerAnnounce
from sardineferry.messages.burst import WorkerProfile
from sardineferry.messages.burst import WorkerRoom

if TYPE_CHECKING:
    from sardineferry.decision.burst.entry_state import ActiveJob
    from sardineferry.decision.burst.entry_state import ActiveTask
    from sardineferry.decision.burst.entry_state import BurstEntryState
    from sardineferry.decision.burst.entry_state import PlacedRun

__all__ = ["check_agents"]

# Added to the attempt of a task that a worker has seen under a later attempt,
# from a submission through another entry.
ATTEMPT_STEP = 8
# Refusals that the next order to the same worker is likely to meet as well.
REASONS_TO_AVOID = (StartAnswer.REJECTED.value, StartAnswer.OTHER_INCARNATION.value)
# Agents that are gone for this long are forgotten.
FORGET_MS = 120_000


@handle_entry_event.register(WorkerAnnounce)
def on_announce(
    event: WorkerAnnounce, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """Greet an agent: one that is new, back on a new link, or restarted."""
    view = state.agents.get(sender)
    if view is None:
        view = AgentView(sender, event.data_centre)
        state.agents[sender] = view
    restarted = view.incarnation not in ("", event.incarnation)
    # No order before the agent has told what it holds: an order that crosses
    # that list would seem lost, and be repeated while it runs.
    view.accepting = False
    if view.incarnation != event.incarnation:
        view.stamp_ms = 0
        view.forget_orders()
    if restarted:
        # They may run on until their lease lapses or the agent stops them.
        view.orphans.update(view.runs)
        view.runs.clear()
        view.orphans_gone_ms = view.stamp_heard_ms + timing.RUNS_GONE_MS
    view.incarnation = event.incarnation
    view.linked = True
    view.heard_ms = now_ms
    welcome = EntryWelcome(
        state.name,
        state.incarnation,
        state.data_centre,
        view.profile,
        state.places,
    )
    state.effects.append(Send(sender, welcome))
    state.effects.extend(state.relay.offers([sender]))
    log_agent(state, "agent linked", view, now_ms)


@handle_entry_event.register(LinkDown)
def on_link_down(
    event: LinkDown, state: BurstEntryState, _sender: str, now_ms: int
) -> None:
    """Place nothing there; its runs go on until their bound."""
    view = state.agents.get(event.name)
    if view is not None:
        view.linked = False
        log_agent(state, "agent link lost", view, now_ms)


@handle_entry_event.register(WorkerProfile)
def on_profile(
    event: WorkerProfile, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """Note what an agent's worker is."""
    view = heard(state, sender, now_ms)
    if view is not None:
        view.profile = event


@handle_entry_event.register(WorkerRoom)
def on_room(
    event: WorkerRoom, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """Take a push of room; later orders are still to be counted."""
    view = heard(state, sender, now_ms)
    if view is None:
        return
    view.note_stamp(event.sent_at_ms, now_ms)
    learned = LearnedSpeed(event.speed, event.speed_runs)
    state.speeds.report(view.name, view.kind(), learned)
    gap_ms = timing.ECHO_INTERVAL_MS if view.runs else timing.IDLE_ECHO_INTERVAL_MS
    if now_ms - view.echoed_ms >= gap_ms:
        echo(state, view, now_ms)
    if view.note_room(event.free, event.last_order):
        state.placing_due = True
    if view.accepting != event.accepting:
        view.accepting = event.accepting
        state.placing_due = True
        log_agent(state, "agent accepting", view, now_ms)
    if view.accepting and view.orphans:
        # An agent accepts only once its worker runs nothing of before.
        lose_orphans(state, view, "agent restarted", now_ms)


@handle_entry_event.register(AgentBeat)
def on_beat(event: AgentBeat, state: BurstEntryState, sender: str, now_ms: int) -> None:
    """Echo a stamp, which lets our runs there go on."""
    view = heard(state, sender, now_ms)
    if view is not None:
        view.note_stamp(event.sent_at_ms, now_ms)
        echo(state, view, now_ms)


def echo(state: BurstEntryState, view: AgentView, now_ms: int) -> None:
    """Echo the newest stamp."""
    view.echoed_ms = now_ms
    state.effects.append(Send(view.name, EntryBeat(view.stamp_ms)))


@handle_entry_event.register(HeldRuns)
def on_held_runs(
    event: HeldRuns, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """After a link was made anew: what the agent does not hold is gone.

    An order that the agent has not seen was lost with the old link.
    """
    view = heard(state, sender, now_ms)
    if view is None:
        return
    held = set(event.runs)
    for ref in [ref for ref in view.runs if ref not in held]:
        placed = view.runs.pop(ref)
        how = ENDED_LOST if placed.order <= event.last_order else ENDED_REFUSED
        settle(state, view, placed, RunEnded(ref, how, 0, "lost with link"), now_ms)
    view.forget_orders()


@handle_entry_event.register(RunEnded)
def on_run_ended(
    event: RunEnded, state: BurstEntryState, sender: str, now_ms: int
) -> None:
    """Go on by the end of a run; one that is not expected any more is late."""
    view = heard(state, sender, now_ms)
    if view is None:
        return
    placed = view.runs.pop(event.run, None)
    if placed is None:
        state.counters["ends_ignored"] += 1
        return
    settle(state, view, placed, event, now_ms)


def heard(state: BurstEntryState, link: str, now_ms: int) -> AgentView | None:
    """Note a sign of life of an agent."""
    view = state.agents.get(link)
    if view is not None:
        view.heard_ms = now_ms
    return view


def settle(
    state: BurstEntryState,
    view: AgentView,
    placed: PlacedRun,
    event: RunEnded,
    now_ms: int,
) -> None:
    """Apply the end of a run to its task and job."""
    job, task = placed.job, placed.task
    if event.how == ENDED_REFUSED:
        state.counters["runs_refused"] += 1
        if event.reason == StartAnswer.SUPERSEDED.value:
            task.attempt += ATTEMPT_STEP
        if event.reason in REASONS_TO_AVOID:
            # Else it would be ordered there again at once, and refused again.
            task.tried.add(view.name)
            note_failure(state, view, now_ms)
        else:
            end_probe(state, view, now_ms)
        repeat(state, job, task, "refused", now_ms)
        return
    job.begun = True
    if event.how == ENDED_DONE:
        note_success(state, view, placed, event)
        task.advance("done")
        finish_if_done(state, job, now_ms)
        return
    task.tried.add(view.name)
    if event.how == ENDED_FAILED:
        task.failures += 1
        note_failure(state, view, now_ms)
        repeat(state, job, task, "failed", now_ms)
        return
    state.counters["runs_lost"] += 1
    if event.reason == REASON_STALLED:
        task.stalled = True
        note_failure(state, view, now_ms)
    else:
        end_probe(state, view, now_ms)
    repeat(state, job, task, "lost", now_ms)


def note_success(
    state: BurstEntryState,
    view: AgentView,
    placed: PlacedRun,
    event: RunEnded,
) -> None:
    """Learn from a run that ended as done."""
    step = placed.job.step
    if view.health.state != "open":
        view.health.note_success()
    route = placed.job.route.name
    speed = state.speeds.factor(view.name, view.kind())
    state.work.note(route, step.estimate_ms, event.run_ms, speed)


def end_probe(state: BurstEntryState, view: AgentView, now_ms: int) -> None:
    """Let a probe that had no outcome count as failed."""
    if view.health.state == "probing":
        note_failure(state, view, now_ms)


def note_failure(state: BurstEntryState, view: AgentView, now_ms: int) -> None:
    """Count a failure against a worker; several on end eject it."""
    if view.health.state == "open":
        return
    if view.health.note_failure(now_ms, may_trip=True):
        state.counters["workers_ejected"] += 1
        log_agent(state, "worker ejected", view, now_ms)


def repeat(
    state: BurstEntryState, job: ActiveJob, task: ActiveTask, event: str, now_ms: int
) -> None:
    """Let a task wait again, unless its job is over or out of attempts."""
    task.advance(event)
    state.placing_due = True
    if state.jobs.get(job.job.job_id) is not job:
        return
    if task.failures >= job.route.attempts:
        finish(state, job, ReplyKind.FAILED, "attempts used up", now_ms)
        return
    if job not in state.queue:
        state.queue.append(job)


def finish_if_done(state: BurstEntryState, job: ActiveJob, now_ms: int) -> None:
    """Answer a job whose tasks have all ended as done."""
    if state.jobs.get(job.job.job_id) is not job:
        return
    if all(task.status == "done" for task in job.tasks):
        finish(state, job, ReplyKind.COMPLETED, "all tasks done", now_ms)


def check_agents(state: BurstEntryState, now_ms: int) -> None:
    """Give up runs of agents that are lost; drop links that are silent."""
    for view in list(state.agents.values()):
        if view.orphans and now_ms > view.orphans_gone_ms:
            lose_orphans(state, view, "leases lapsed", now_ms)
        if view.runs and now_ms - view.stamp_heard_ms > timing.RUNS_GONE_MS:
            log_agent(state, "agent lost, its runs have lapsed", view, now_ms)
            view.accepting = False
            runs, view.runs = view.runs, {}
            for ref, placed in runs.items():
                ended = RunEnded(ref, ENDED_LOST, 0, "agent lost")
                settle(state, view, placed, ended, now_ms)
        silent_ms = now_ms - max(view.heard_ms, state.resumed_ms)
        if view.linked and silent_ms > timing.IDLE_SILENCE_LIMIT_MS:
            view.linked = False
            log_agent(state, "agent silent", view, now_ms)
            state.effects.append(DropLink(view.name))
        if not view.linked and silent_ms > FORGET_MS:
            del state.agents[view.name]
            state.speeds.forget(view.name)


def lose_orphans(
    state: BurstEntryState, view: AgentView, reason: str, now_ms: int
) -> None:
    """Repeat elsewhere what an earlier incarnation of an agent ran."""
    orphans, view.orphans = view.orphans, {}
    for ref, placed in orphans.items():
        settle(state, view, placed, RunEnded(ref, ENDED_LOST, 0, reason), now_ms)


def log_agent(state: BurstEntryState, event: str, view: AgentView, now_ms: int) -> None:
    """Log a change of what is known of an agent."""
    fields: dict[str, object] = {
        "agent": view.name,
        "accepting": view.accepting,
        "runs": len(view.runs),
        "heard_ms_ago": now_ms - view.heard_ms,
        "stamp_heard_ms_ago": now_ms - view.stamp_heard_ms,
    }
    state.effects.append(LogDecision(event, fields))
