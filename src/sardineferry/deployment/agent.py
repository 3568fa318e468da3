"""The composition root of an agent on an operator's platform."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from sardineferry.burst.agent import AgentParts
from sardineferry.burst.agent import BurstAgentProcess
from sardineferry.decision.burst.agent import BurstAgentCore
from sardineferry.decision.burst.agent import BurstAgentState
from sardineferry.deployment.basis import build_basis
from sardineferry.incarnation import new_incarnation
from sardineferry.messages.burst import CODEC
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

# Workers' heartbeats may have up to 4 MiB.
REPORT_LIMITS = HttpLimits(body_bytes=4 * 1024 * 1024, connections=32)
# An entry is back about 1 s after it was killed; agents are to find it at once.
# One that is away for longer may have been removed for good.
REDIAL = RedialPolicy(
    connect_timeout_s=0.5,
    delay_cap_ms=120,
    failures_before_idle=40,
    idle_delay_cap_ms=1_000,
)
MS_PER_S = 1_000


def build(
    settings: DeploymentSettings, path: Path, metrics_port: int
) -> BurstAgentProcess:
    """Build an agent; its addresses are bound, nothing is started.

    Raises:
        AddressError: An address can't be bound.

    """
    basis = build_basis(settings, path)
    loop, mailbox = basis.loop, basis.mailbox
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
        loop=loop,
        core=BurstAgentCore(state),
        mailbox=mailbox,
        links=basis.links,
        dialers=DialerPool(loop, CODEC, mailbox, basis.links, basis.random, REDIAL),
        worker=WorkerClient(loop, settings.worker, mailbox),
        report_server=HttpServer(
            loop,
            settings.worker_reports,
            HeartbeatApplication(mailbox, settings.service).handle,
            REPORT_LIMITS,
        ),
        watches=(basis.entries_watch,),
        exposition=MetricsServer(loop, settings.ip, state.counters, metrics_port),
        log=basis.log,
        settings_watch=basis.settings_watch,
    )
    return BurstAgentProcess(parts)
