"""Builds the entry that runs on an operator's platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.burst.entry import BurstEntryProcess
from sardineferry.burst.entry import EntryParts
from sardineferry.burst.entry import readiness_handler
from sardineferry.burst.evacuation_gauges import evacuation_gauges
from sardineferry.client_budget import client_budget
from sardineferry.clock import now_ms
from sardineferry.decision.burst.configuration import EdgeLimits
from sardineferry.decision.burst.entry import BurstEntryCore
from sardineferry.decision.burst.entry import BurstEntryState
from sardineferry.decision.burst.overload.entry_backlog import read_backlog_gauges
from sardineferry.deployment.common_parts import build_common_parts
from sardineferry.incarnation import new_incarnation
from sardineferry.loop import LISTEN_BACKLOG
from sardineferry.loop import ClientGuard
from sardineferry.messages.burst import CODEC
from sardineferry.messages.burst import EntryEndpoint
from sardineferry.metrics_server import METRICS_SERVER_LIMITS
from sardineferry.metrics_server import MetricsServer
from sardineferry.pending_requests import PendingRequests
from sardineferry.platform.callers import CallerApplication
from sardineferry.platform.configuration import CONFIG_TOPIC
from sardineferry.platform.configuration import decode_configuration
from sardineferry.platform.topic_watch import TopicWatch
from sardineferry.platform.topic_watch import entry_registration
from sardineferry.platform.topic_watch import operator_handler
from sardineferry.transport import UNREAD_LINK_BYTES
from sardineferry.transport import LinkListener
from sardineferry.web import HttpLimits
from sardineferry.web import HttpServer

if TYPE_CHECKING:
    from pathlib import Path

    from sardineferry.decision.burst.requests import BurstReply
    from sardineferry.settings import DeploymentSettings

__all__ = ["build"]

# The program itself takes about 40 MB.
PROGRAM_MEMORY_MB = 40
# A waiting caller takes about 36 KB: 20 for its connection, request and job, and what
# its receive buffer may hold. 10 use a third of a megabyte; the rest is for callers
# that wait to be accepted and for bursts of requests.
CALLERS_PER_MB = 10
# Tasks for each permitted connection, in waiting and running jobs. A task takes about
# 200 bytes, so that they fit into what a caller takes.
TASKS_PER_CALLER = 32
# File descriptors that are kept free for open files and links.
RESERVED_DESCRIPTORS = 600
# Bounds of the limit on callers' connections, whatever the size of the instance.
MIN_CALLER_CONNECTIONS = 64
MAX_CALLER_CONNECTIONS = 4_000
READINESS_SERVER_LIMITS = HttpLimits(
    header_bytes=8_192,
    body_bytes=1_024,
    header_timeout_s=3.0,
    request_timeout_s=15.0,
    connections=32,
    backlog=64,
)
# The longest time for a whole request: several times the configuration's idle timeout,
# so that a caller may use that more than once.
REQUEST_TIMEOUT_S = 60.0
MS_PER_S = 1_000
# How long a read of the configuration topic waits for a new record. A dead
# connection to the store is noticed only after this time and the call's own timeout,
# and a new configuration has to be in force within 2 s.
CONFIG_READ_WAIT_MS = 700


def max_caller_connections(memory_mb: int, descriptors: int) -> int:
    """Return how many callers' connections an instance of this size may have."""
    by_memory = (memory_mb - PROGRAM_MEMORY_MB) * CALLERS_PER_MB
    by_descriptors = descriptors - RESERVED_DESCRIPTORS
    return max(
        MIN_CALLER_CONNECTIONS, min(MAX_CALLER_CONNECTIONS, by_memory, by_descriptors)
    )


def first_caller_limits(connections: int) -> HttpLimits:
    """Return the limits for callers until the first configuration has been read.

    They are those of a configuration that states none.
    """
    limits = EdgeLimits()
    return HttpLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        header_timeout_s=limits.header_timeout_ms / MS_PER_S,
        idle_timeout_s=limits.idle_timeout_ms / MS_PER_S,
        request_timeout_s=REQUEST_TIMEOUT_S,
        connections=connections,
        backlog=min(LISTEN_BACKLOG, connections),
    )


def build(
    settings: DeploymentSettings, path: Path, metrics_port: int
) -> BurstEntryProcess:
    """Build an entry and bind its addresses, without starting it.

    Raises:
        AddressError: An address can't be bound.

    """
    common = build_common_parts(settings, path)
    loop, mailbox = common.loop, common.mailbox
    connections = max_caller_connections(settings.memory_mb, settings.descriptors)
    state = BurstEntryState(
        settings.name,
        new_incarnation(),
        settings.data_centre,
        settings.grace_ms,
        decode_configuration,
        common.random,
        settings.remote_factor,
        TASKS_PER_CALLER * connections,
    )
    endpoint = EntryEndpoint(
        settings.name, settings.links, settings.data_centre, state.incarnation
    )
    pending_requests: PendingRequests[BurstReply] = PendingRequests()
    config_watch = TopicWatch(
        loop,
        CONFIG_TOPIC,
        common.store,
        CONFIG_READ_WAIT_MS,
        common.random,
        operator_handler(mailbox),
    )
    caller_limits = first_caller_limits(connections)
    budget = client_budget(
        settings.memory_mb,
        connections,
        caller_limits.body_bytes,
        caller_limits.unread_bytes()
        + READINESS_SERVER_LIMITS.unread_bytes()
        + METRICS_SERVER_LIMITS.unread_bytes()
        + UNREAD_LINK_BYTES,
    )
    guard = ClientGuard(
        loop,
        budget.held_bytes,
        state.counters,
        large_buffers_bytes=budget.large_buffers_bytes,
    )
    parts = EntryParts(
        loop=loop,
        core=BurstEntryCore(state),
        mailbox=mailbox,
        links=common.links,
        listener=LinkListener(
            loop, settings.links, CODEC, mailbox, common.links, guard
        ),
        pending_requests=pending_requests,
        caller_server=HttpServer(
            loop,
            settings.callers,
            CallerApplication(mailbox, pending_requests).handle,
            caller_limits,
            guard,
        ),
        readiness_server=HttpServer(
            loop,
            settings.readiness,
            readiness_handler(state),
            READINESS_SERVER_LIMITS,
            guard,
        ),
        background_parts=(
            config_watch,
            common.entries_watch,
            entry_registration(loop, common.store, endpoint),
        ),
        metrics_server=MetricsServer(
            loop,
            settings.ip,
            state.counters,
            metrics_port,
            lambda: (
                *evacuation_gauges(state.evacuation, now_ms()),
                *read_backlog_gauges(state, now_ms()),
            ),
            guard,
        ),
        log=common.log,
        settings_watch=common.settings_watch,
    )
    return BurstEntryProcess(parts)
