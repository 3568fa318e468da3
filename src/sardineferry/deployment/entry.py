"""The composition root of an entry on an operator's platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardineferry.burst.entry import BurstEntryProcess
from sardineferry.burst.entry import EntryParts
from sardineferry.burst.entry import readiness_handler
from sardineferry.decision.burst.entry import BurstEntryCore
from sardineferry.decision.burst.entry import BurstEntryState
from sardineferry.deployment.basis import build_basis
from sardineferry.incarnation import new_incarnation
from sardineferry.messages.burst import CODEC
from sardineferry.messages.burst import EntryEndpoint
from sardineferry.metrics_server import MetricsServer
from sardineferry.pending_requests import PendingRequests
from sardineferry.platform.callers import CallerApplication
from sardineferry.platform.configuration import CONFIG_TOPIC
from sardineferry.platform.configuration import decode_configuration
from sardineferry.platform.topic_watch import TopicWatch
from sardineferry.platform.topic_watch import configuration_handler
from sardineferry.platform.topic_watch import entry_registration
from sardineferry.transport import LinkListener
from sardineferry.web import HttpLimits
from sardineferry.web import HttpServer

if TYPE_CHECKING:
    from pathlib import Path

    from sardineferry.decision.burst.requests import BurstReply
    from sardineferry.settings import DeploymentSettings

__all__ = ["build"]

# A caller that waits takes about 20 KB for its connection, request and job,
# the program about 40 MB; half of the rest stays free for bursts of requests.
PROGRAM_MB = 40
CALLERS_PER_MB = 25
# Of a machine's descriptors, those for files and for links.
DESCRIPTORS_RESERVED = 600
CALLERS_MIN = 64
CALLERS_MAX = 4_000
READINESS_LIMITS = HttpLimits(header_bytes=8_192, body_bytes=1_024, connections=32)
# A new configuration has to be in force within 2 s: a connection to the store
# that went silent shows after this and the call's own time limit.
CONFIG_WAIT_MS = 700


def callers_limit(memory_mb: int, descriptors: int) -> int:
    """Return how many callers a machine may have at once."""
    by_memory = (memory_mb - PROGRAM_MB) * CALLERS_PER_MB
    by_descriptors = descriptors - DESCRIPTORS_RESERVED
    return max(CALLERS_MIN, min(CALLERS_MAX, by_memory, by_descriptors))


def build(
    settings: DeploymentSettings, path: Path, metrics_port: int
) -> BurstEntryProcess:
    """Build an entry; its addresses are bound, nothing is started.

    Raises:
        AddressError: An address can't be bound.

    """
    basis = build_basis(settings, path)
    loop, mailbox = basis.loop, basis.mailbox
    state = BurstEntryState(
        settings.name,
        new_incarnation(),
        settings.data_centre,
        settings.grace_ms,
        decode_configuration,
        basis.random,
    )
    place = EntryEndpoint(
        settings.name, settings.links, settings.data_centre, state.incarnation
    )
    waiting: PendingRequests[BurstReply] = PendingRequests()
    config_watch = TopicWatch(
        loop,
        CONFIG_TOPIC,
        basis.store,
        CONFIG_WAIT_MS,
        basis.random,
        configuration_handler(mailbox),
    )
    limits = HttpLimits(
        connections=callers_limit(settings.memory_mb, settings.descriptors)
    )
    parts = EntryParts(
        loop=loop,
        core=BurstEntryCore(state),
        mailbox=mailbox,
        links=basis.links,
        listener=LinkListener(loop, settings.links, CODEC, mailbox, basis.links),
        waiting=waiting,
        caller_server=HttpServer(
            loop, settings.callers, CallerApplication(mailbox, waiting).handle, limits
        ),
        readiness_server=HttpServer(
            loop, settings.readiness, readiness_handler(state), READINESS_LIMITS
        ),
        watches=(
            config_watch,
            basis.entries_watch,
            entry_registration(loop, basis.store, place),
        ),
        exposition=MetricsServer(loop, settings.ip, state.counters, metrics_port),
        log=basis.log,
        settings_watch=basis.settings_watch,
    )
    return BurstEntryProcess(parts)
