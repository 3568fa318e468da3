"""Builds the agent that runs on an operator's platform."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from sardineferry.burst.agent import AgentParts
from sardineferry.burst.agent import BurstAgentProcess
from sardineferry.burst.evacuation_gauges import evacuation_gauges
from sardineferry.client_budget import client_budget
from sardineferry.clock import now_ms
from sardineferry.decision.burst.agent import BurstAgentCore
from sardineferry.decision.burst.agent import BurstAgentState
from sardineferry.deployment.common_parts import build_common_parts
from sardineferry.incarnation import new_incarnation
from sardineferry.loop import ClientGuard
from sardineferry.messages.burst import CODEC
from sardineferry.metrics_server import METRICS_SERVER_LIMITS
from sardineferry.metrics_server import MetricsServer
from sardineferry.platform.heartbeats import HeartbeatApplication
from sardineferry.platform.worker import WorkerClient
from sardineferry.transport import DialerPool
from sardineferry.transport import RedialPolicy
from sardineferry.web import HttpLimits
from sardineferry.web import HttpServer

if TYPE_CHECKING:
    from pathlib import Path

    from sardineferry.settings import DeploymentSettings

__all__ = ["build"]

# A worker's heartbeat may be up to 4 MiB long.
HEARTBEAT_SERVER_LIMITS = HttpLimits(
    header_bytes=16_384,
    body_bytes=4 * 1024 * 1024,
    header_timeout_s=3.0,
    request_timeout_s=60.0,
    connections=32,
    backlog=64,
)
# A killed entry restarts within about 1 s, and agents must reconnect to it at once:
# for the first 40 failures, the delay between attempts is at most 120 ms. An entry that
# is away for longer may have been removed for good; the delay then grows to 1 s.
# While an instance has no power, attempts get no answer: short timeouts find it soon
# after its return, and the long one succeeds over a slow link.
REDIAL_POLICY = RedialPolicy(
    connect_timeouts_s=(0.1, 0.1, 0.2, 0.8),
    delay_cap_ms=120,
    failures_before_idle=40,
    idle_delay_cap_ms=1_000,
)
MS_PER_S = 1_000


def build(
    settings: DeploymentSettings, path: Path, metrics_port: int
) -> BurstAgentProcess:
    """Build an agent and bind its addresses, without starting it.

    Raises:
        AddressError: An address can't be bound.

    """
    common = build_common_parts(settings, path)
    loop, mailbox = common.loop, common.mailbox
    state = BurstAgentState(
        settings.name,
        new_incarnation(),
        settings.data_centre,
        settings.service,
        # The fencing token, which has to rise with each start. If the clock was set
        # back, the worker rejects the token and the agent raises it.
        int(time.time() * MS_PER_S),
        settings.grace_ms,
    )
    budget = client_budget(
        settings.memory_mb,
        HEARTBEAT_SERVER_LIMITS.connections,
        HEARTBEAT_SERVER_LIMITS.body_bytes,
        HEARTBEAT_SERVER_LIMITS.unread_bytes() + METRICS_SERVER_LIMITS.unread_bytes(),
    )
    guard = ClientGuard(
        loop,
        budget.held_bytes,
        state.counters,
        large_buffers_bytes=budget.large_buffers_bytes,
    )
    parts = AgentParts(
        loop=loop,
        core=BurstAgentCore(state),
        mailbox=mailbox,
        links=common.links,
        dialers=DialerPool(
            loop, CODEC, mailbox, common.links, common.random, REDIAL_POLICY
        ),
        worker_client=WorkerClient(loop, settings.worker, mailbox),
        heartbeat_server=HttpServer(
            loop,
            settings.worker_reports,
            HeartbeatApplication(mailbox, settings.service).handle,
            HEARTBEAT_SERVER_LIMITS,
            guard,
        ),
        background_parts=(common.entries_watch,),
        metrics_server=MetricsServer(
            loop,
            settings.ip,
            state.counters,
            metrics_port,
            lambda: evacuation_gauges(state.evacuation, now_ms()),
            guard,
        ),
        log=common.log,
        settings_watch=common.settings_watch,
    )
    return BurstAgentProcess(parts)
