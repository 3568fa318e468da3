"""The ``sardineferry-standin`` program.

It simulates the platform's log, targets and workers, for tests and demos.
"""

from __future__ import annotations

import cyclopts

from sardineferry.logs import configure_logs
from sardineferry.signals import SignalHandlers
from sardineferry.standin import LogStandin
from sardineferry.standin import TargetStandin
from sardineferry.standin import WorkerStandin
from sardineferry.standin.web import StandinServer

__all__ = ["main"]

LOG_THREADS = 16
WORKER_THREADS = 16
# Each running task occupies a thread; these serve requests for usage and control
# while all slots are taken.
TARGET_EXTRA_THREADS = 4

application = cyclopts.App(name="sardineferry-standin")


def serve(server: StandinServer) -> None:
    """Serve until SIGTERM or SIGINT."""
    configure_logs("WARNING", json_lines=False)
    SignalHandlers(server.stop).install(server.loop)
    server.run()


@application.command
def log(listen: str) -> None:
    """Simulate the platform's log.

    Args:
        listen: The host:port to listen on.

    """
    serve(StandinServer(LogStandin(), listen, LOG_THREADS))


@application.command
def target(listen: str, slots: int = 8, slowness: float = 1.0) -> None:
    """Simulate a target.

    Args:
        listen: The host:port to listen on.
        slots: How many tasks run at once.
        slowness: The factor by which run times are multiplied.

    """
    standin = TargetStandin(slots, slowness)
    serve(StandinServer(standin, listen, slots + TARGET_EXTRA_THREADS))


@application.command
def worker(
    listen: str, report_to: str, worker_id: str, service: str, cpu: int = 64_000
) -> None:
    """Simulate a worker that reports to an agent.

    Args:
        listen: The host:port to listen on.
        report_to: The host:port on which the agent accepts reports.
        worker_id: The worker's id.
        service: The worker's service.
        cpu: The worker's processors, in thousandths of a core.

    """
    standin = WorkerStandin(worker_id, service, cpu)
    standin.report_to(report_to)
    serve(StandinServer(standin, listen, WORKER_THREADS))


def main() -> None:
    """Run the program."""
    application()
