"""The composition root of processes that run on an operator's platform."""

from __future__ import annotations

import random
import time
import uuid
from typing import TYPE_CHECKING

from sardineferry.burst import BurstAgentProcess
from sardineferry.burst import BurstEntryProcess
from sardineferry.burst.entry import ReadyApplication
from sardineferry.burst.parts import AgentParts
from sardineferry.burst.parts import EntryParts
from sardineferry.burst.settings_watch import SettingsWatch
from sardineferry.burst.worker_calls import WorkerCalls
from sardineferry.decision.burst import BurstAgentCore
from sardineferry.decision.burst import BurstAgentState
from sardineferry.decision.burst import BurstEntryCore
from sardineferry.decision.burst import BurstEntryState
from sardineferry.exposition import Exposition
from sardineferry.http_server import HttpServer
from sardineferry.logs import configure_structured_logs
from sardineferry.mailbox import Mailbox
from sardineferry.platform.callers import CallerApplication
from sardineferry.platform.configuration import CONFIG_TOPIC
from sardineferry.platform.configuration import decode_configuration
from sardineferry.platform.memory import RoomMemory
from sardineferry.platform.reports import REPORT_LIMIT_BYTES
from sardineferry.platform.reports import ReportApplication
from sardineferry.platform.settings import load_deployment_settings
from sardineferry.platform.watch import ENTRIES_TOPIC
from sardineferry.platform.watch import EntryRegistration
from sardineferry.platform.watch import TopicWatch
from sardineferry.platform.watch import hand_over_addresses
from sardineferry.platform.watch import hand_over_configuration
from sardineferry.platform.worker import WorkerClient
from sardineferry.transport import DialerPool
from sardineferry.transport import Listener
from sardineferry.transport import Redial
from sardineferry.transport.registry import LinkRegistry
from sardineferry.waiting import WaitingRequests

if TYPE_CHECKING:
    from pathlib import Path

    from sardineferry.decision.burst.requests import BurstReply
    from sardineferry.settings import DeploymentSettings

__all__ = ["build_deployed_agent", "build_deployed_entry"]

LOG_LEVEL = "INFO"
# A caller waits in a thread, which takes about 100 KB; 60 MB are the program's.
PROGRAM_MB = 60
THREADS_PER_MB = 3
THREADS_MIN = 64
THREADS_MAX = 192
# Threads that never wait for jobs: they refuse callers that are too many.
SPARE_THREADS = 8
READY_THREADS = 1
REPORT_THREADS = 2
BODY_LIMIT_BYTES = 1024 * 1024
IDLE_TIMEOUT_S = 15
# A new configuration has to be in force within 2 s: a connection to the store
# that went silent shows after this and the call's own time limit.
CONFIG_WAIT_MS = 700
# New entries are also learned from those that are known.
ENTRIES_WAIT_MS = 10_000
# Jobs of up to 32 tasks that start on one worker at once.
ORDER_THREADS = 6
# An entry is back about 1 s after it was killed; agents are to find it at once.
REDIAL = Redial(connect_timeout_s=0.5, delay_cap_ms=120)
MS_PER_S = 1_000


def new_incarnation() -> str:
    """Return a name that no earlier run of the process had."""
    return uuid.uuid4().hex[:12]


def callers_limit(memory_mb: int) -> int:
    """Return how many callers may wait in a machine's memory."""
    threads = (memory_mb - PROGRAM_MB) * THREADS_PER_MB
    return max(THREADS_MIN, min(THREADS_MAX, threads))


def watch_entries(
    settings: DeploymentSettings, mailbox: Mailbox, source: random.Random
) -> TopicWatch:
    """Return what follows the entries' addresses on the store."""
    return TopicWatch(
        ENTRIES_TOPIC,
        settings.store,
        ENTRIES_WAIT_MS,
        source,
        hand_over_addresses(mailbox),
    )


def build_deployed_entry(
    settings: DeploymentSettings, path: Path, metrics_port: int
) -> BurstEntryProcess:
    """Build an entry; its addresses are bound, its threads not started."""
    log = configure_structured_logs(LOG_LEVEL)
    source = random.Random()
    mailbox = Mailbox()
    links = LinkRegistry()
    state = BurstEntryState(
        settings.name,
        new_incarnation(),
        settings.data_centre,
        settings.grace_ms,
        decode_configuration,
        source,
    )
    waiting: WaitingRequests[BurstReply] = WaitingRequests()
    limit = callers_limit(settings.memory_mb)
    application = CallerApplication(
        mailbox, waiting, limit, lambda: state.configuration.limits
    )
    watches = (
        TopicWatch(
            CONFIG_TOPIC,
            settings.store,
            CONFIG_WAIT_MS,
            source,
            hand_over_configuration(mailbox),
        ),
        watch_entries(settings, mailbox, source),
        EntryRegistration(
            settings.name, settings.links, state.incarnation, settings.store
        ),
    )
    parts = EntryParts(
        core=BurstEntryCore(state),
        mailbox=mailbox,
        links=links,
        listener=Listener(settings.links, mailbox, links),
        waiting=waiting,
        callers=HttpServer(
            application,
            settings.callers,
            limit + SPARE_THREADS,
            BODY_LIMIT_BYTES,
            watch_callers=True,
            idle_timeout_s=IDLE_TIMEOUT_S,
        ),
        readiness=HttpServer(
            ReadyApplication(state), settings.readiness, READY_THREADS, BODY_LIMIT_BYTES
        ),
        watches=watches,
        exposition=Exposition(settings.ip, state.counters, metrics_port),
        log=log,
        settings_watch=SettingsWatch(path, load_deployment_settings, settings, mailbox),
    )
    return BurstEntryProcess(parts)


def build_deployed_agent(
    settings: DeploymentSettings, path: Path, metrics_port: int
) -> BurstAgentProcess:
    """Build an agent; its addresses are bound, its threads not started."""
    log = configure_structured_logs(LOG_LEVEL)
    source = random.Random()
    mailbox = Mailbox()
    links = LinkRegistry()
    state = BurstAgentState(
        settings.name,
        new_incarnation(),
        settings.data_centre,
        settings.service,
        # Rises with each start; a clock that was set back is corrected by the
        # worker's refusal.
        int(time.time() * MS_PER_S),
        settings.grace_ms,
    )
    parts = AgentParts(
        core=BurstAgentCore(state),
        mailbox=mailbox,
        links=links,
        dialers=DialerPool(mailbox, links, source, REDIAL),
        orders=WorkerCalls(
            ORDER_THREADS, lambda: WorkerClient(settings.worker), mailbox
        ),
        holds=WorkerCalls(1, lambda: WorkerClient(settings.worker), mailbox),
        reports=HttpServer(
            ReportApplication(mailbox, settings.service),
            settings.worker_reports,
            REPORT_THREADS,
            REPORT_LIMIT_BYTES,
        ),
        rooms=RoomMemory(settings.name, settings.worker, settings.store, mailbox),
        watches=(watch_entries(settings, mailbox, source),),
        exposition=Exposition(settings.ip, state.counters, metrics_port),
        log=log,
        settings_watch=SettingsWatch(path, load_deployment_settings, settings, mailbox),
    )
    return BurstAgentProcess(parts)
