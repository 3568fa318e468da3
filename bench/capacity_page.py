"""Computes docs/CAPACITY.md from ``bench/slopes.json``.

With ``--check`` it compares instead, and exits with 1 if the page drifted.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import NamedTuple

import cyclopts

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
SLOPES = Path(__file__).parent / "slopes.json"

WORKERS = 5_700
STARTS_PER_S = 140_000
TEAMS = 77
DATA_CENTRES = 21
CHANGES_PER_DAY = 3_400
RESTARTS_PER_DAY = 2_300
ENTRIES_PER_DATA_CENTRE = 2
LINKS_PER_AGENT = 2
TASKS_PER_JOB = 100
BOOKING_SHARE = 0.5
HORIZON_S = 600
CLAIM_INTERVAL_S = 0.010
LOG_APPENDS_PER_S = 300
CORE_BOUND = 0.018
MEMORY_BOUND_MB = 128
BYTES_BOUND = 2_048
CHANGE_BOUND_S = 6.0
ROSTER_BYTES = 20
CLAIM_BYTES = 30
CONFIG_POLL_S = 0.5
CLAIM_POLL_S = 1.0
APPEND_S = 0.010
DAY_S = 86_400


class Row(NamedTuple):
    """One row of the page: a figure, its bound, what carries it."""

    role: str
    quantity: str
    figure: float
    unit: str
    bound: float | None
    note: str

    def verdict(self) -> str:
        """Return whether the row holds, and the mechanism."""
        if self.bound is None:
            return self.note
        if self.figure <= self.bound:
            return f"holds ({self.figure / self.bound:.0%} of the bound). {self.note}"
        times = self.figure / self.bound
        return f"**falls short by {times:.1f}x**: {self.note}"


Lines = dict[str, dict[str, float]]


def at(lines: Lines, name: str, x: float) -> float:
    """Return a fitted line's value."""
    return lines[name]["slope"] * x + lines[name]["intercept"]


def agent_rows(lines: Lines) -> list[Row]:
    """Compute the rows of an agent."""
    starts = STARTS_PER_S / WORKERS
    rows = starts * BOOKING_SHARE * HORIZON_S + starts * 12
    table_mb = at(lines, "table_bytes_by_rows", rows) / 1e6
    memory = at(lines, "agent_mb_by_entries", LINKS_PER_AGENT) + table_mb
    frame = at(lines, "frame_bytes_by_tasks", 1)
    role = "agent (minion or worker)"
    return [
        Row(
            role,
            "processor, control",
            at(lines, "agent_cpu_by_entries", LINKS_PER_AGENT),
            "cores",
            CORE_BOUND,
            "A heartbeat and its echo a second on each link; ticks.",
        ),
        Row(
            role,
            "bytes, control, both ways",
            lines["bytes_by_agents"]["slope"],
            "bytes/s",
            BYTES_BOUND,
            f"{LINKS_PER_AGENT} links; headers of TCP/IP and HTTP/2 included.",
        ),
        Row(
            role,
            "memory",
            memory,
            "MB",
            MEMORY_BOUND_MB,
            f"Start table of {rows:,.0f} rows ({table_mb:.0f} MB) beside the libraries.",
        ),
        Row(
            role,
            "task starts",
            starts,
            "per s",
            None,
            "Data: carried on the same streams.",
        ),
        Row(
            role,
            "bytes, data",
            starts * frame,
            "bytes/s",
            None,
            "100-byte payloads and answers, one task a frame.",
        ),
        Row(role, "log", 0.0, "appends/s", None, "An agent never talks to the log."),
    ]


def entry_rows(lines: Lines) -> list[Row]:
    """Compute the rows of an entry."""
    entries = DATA_CENTRES * ENTRIES_PER_DATA_CENTRE
    agents = WORKERS * LINKS_PER_AGENT / entries
    starts = STARTS_PER_S / entries
    jobs = STARTS_PER_S / TASKS_PER_JOB
    claims = jobs * BOOKING_SHARE * HORIZON_S
    claim_mb = at(lines, "claim_bytes_by_claims", claims) / 1e6
    own_claim_mb = at(lines, "claim_bytes_by_claims", claims / entries) / 1e6
    job_us = at(lines, "entry_us_by_job_tasks", TASKS_PER_JOB)
    cores = starts / TASKS_PER_JOB * job_us / 1e6
    idle = at(lines, "entry_cpu_by_agents", agents)
    memory = at(lines, "entry_mb_by_agents", agents)
    batches = entries * min(jobs * BOOKING_SHARE / entries, 1 / CLAIM_INTERVAL_S)
    per_batch = jobs * BOOKING_SHARE / batches
    fold = at(lines, "fold_us_by_claims", per_batch) * batches / 1e6
    read = batches * (agents * ROSTER_BYTES + per_batch * CLAIM_BYTES)
    digest = at(lines, "digest_bytes_by_teams", TEAMS)
    near = ENTRIES_PER_DATA_CENTRE - 1
    role = "entry"
    return [
        Row(
            role,
            "processor, data",
            cores,
            "cores",
            1.0,
            f"{starts:,.0f} starts/s in jobs of {TASKS_PER_JOB}; measured at 6 agents, where frames carry several tasks. With {agents:.0f} agents most frames carry one: see below.",
        ),
        Row(
            role,
            "processor, control",
            idle,
            "cores",
            CORE_BOUND,
            f"heartbeats of {agents:.0f} agents, each a message. Carried next by a heartbeat every 4 s when answers already carry the load, and by more, smaller entries.",
        ),
        Row(
            role,
            "processor, reading all claims",
            fold,
            "cores",
            CORE_BOUND,
            "every entry reads every claim. Carried next by claim streams sharded by key: an entry reads a shard only for keys that it is asked for, and callers' keys are forwarded to the shard's usual entry.",
        ),
        Row(
            role,
            "bytes, reading all claims",
            read,
            "bytes/s",
            BYTES_BOUND,
            "as above; and the roster once an epoch of membership instead of in each record.",
        ),
        Row(
            role,
            "memory without claims",
            memory,
            "MB",
            MEMORY_BOUND_MB,
            f"{agents:.0f} agents' links, two threads each. Carried next by fewer agents an entry (3 or 4 entries a data centre) or an event loop for links.",
        ),
        Row(
            role,
            "memory of all claims",
            claim_mb,
            "MB",
            MEMORY_BOUND_MB,
            f"{claims:,.0f} claims of {HORIZON_S} s. With shards {own_claim_mb:.0f} MB an entry.",
        ),
        Row(
            role,
            "bytes, digests to all entries",
            digest * (entries - 1),
            "bytes/s",
            BYTES_BOUND,
            f"{TEAMS} teams to {entries - 1} peers a second. To the entries of its own data centre only ({near}) it is {digest * near:,.0f}; sums per data centre then go on at a tenth of the pace.",
        ),
        Row(
            role,
            "task starts",
            starts,
            "per s",
            None,
            f"{entries} entries, {ENTRIES_PER_DATA_CENTRE} a data centre.",
        ),
        Row(
            role,
            "decisions alone",
            at(lines, "decision_us_by_agents", agents) * starts / 1e6,
            "cores",
            None,
            f"At {agents:.0f} agents; nearly flat in their number.",
        ),
    ]


def log_rows(lines: Lines) -> list[Row]:
    """Compute the rows of the platform's log and of changes."""
    entries = DATA_CENTRES * ENTRIES_PER_DATA_CENTRE
    bookings = STARTS_PER_S / TASKS_PER_JOB * BOOKING_SHARE
    appends = min(bookings, entries / CLAIM_INTERVAL_S)
    interval_s = entries / LOG_APPENDS_PER_S
    seen_s = 2 * APPEND_S + CONFIG_POLL_S + 0.1
    role = "log"
    return [
        Row(
            role,
            "appends of claims",
            appends,
            "per s",
            LOG_APPENDS_PER_S,
            f"with `claim_interval_ms` {interval_s * 1_000:.0f} it holds, at {interval_s * 500:.0f} ms more for a booking on average; owners per shard that append for others halve it.",
        ),
        Row(
            role,
            "appends of changes",
            CHANGES_PER_DAY / DAY_S,
            "per s",
            None,
            "One record a change; one republished preset a minute.",
        ),
        Row(
            role,
            "reads",
            entries * (1 / CONFIG_POLL_S + 1 / CLAIM_POLL_S),
            "per s",
            None,
            "Two streams an entry, polled every 0.5 and 1 s.",
        ),
        Row(
            "operator",
            "a change is in force",
            seen_s,
            "s",
            CHANGE_BOUND_S,
            "Append, read back, poll of other entries, then a notice on each agent's stream. Entries cut off from the log learn it from peers.",
        ),
        Row(
            "operator",
            "notices of changes",
            WORKERS * LINKS_PER_AGENT * CHANGES_PER_DAY / DAY_S,
            "messages/s",
            None,
            f"Over all entries; {LINKS_PER_AGENT} an agent.",
        ),
        Row(
            "entry",
            "telling changes to agents",
            at(lines, "preset_us_by_agents", WORKERS * LINKS_PER_AGENT / entries)
            * CHANGES_PER_DAY
            / DAY_S
            / 1e6,
            "cores",
            CORE_BOUND,
            "One message an agent and change.",
        ),
        Row(
            "operator",
            "processor of a command",
            lines["operator_ms_by_calls"]["slope"],
            "ms",
            None,
            "A process of its own for each command; nothing stays.",
        ),
        Row(
            "operator",
            "announcements of restarts",
            RESTARTS_PER_DAY * LINKS_PER_AGENT / DAY_S,
            "messages/s",
            None,
            "Each with a welcome.",
        ),
    ]


def render(lines: Lines) -> str:
    """Return the page."""
    rows = agent_rows(lines) + entry_rows(lines) + log_rows(lines)
    ranked = sorted(
        (row for row in rows if row.bound),
        key=lambda row: abs((row.figure / (row.bound or 1)) - 1),
    )
    nearest = [row for row in ranked if row.figure <= (row.bound or 0)][:3]
    parts = [
        HEAD,
        "| role | quantity | figure | bound | verdict and mechanism |",
        "|---|---|---|---|---|",
        *(
            f"| {row.role} | {row.quantity} | {row.figure:,.4g} {row.unit} | "
            f"{'' if row.bound is None else f'{row.bound:,.4g}'} | {row.verdict()} |"
            for row in rows
        ),
        "",
        "Nearest to their bound among those that hold: "
        + "; ".join(f"{row.role}, {row.quantity}" for row in nearest)
        + ".",
        "",
        "## Slopes",
        "",
        "| line | each | fixed | unit | worst error | points |",
        "|---|---|---|---|---|---|",
        *(
            f"| {name} | {line['slope']:.4g} | {line['intercept']:.4g} | "
            f"{line['unit']} | {line['worst_error']:.3g} | "
            + ", ".join(f"{x:g}: {y:.4g}" for x, y in line["points"])  # type: ignore[attr-defined]
            + " |"
            for name, line in lines.items()
        ),
        TAIL,
    ]
    return "\n".join(parts)


HEAD = f"""# Capacity at the size of the next two years

Written by `python -m bench.capacity_page` from `bench/slopes.json`, which
`python -m bench.capacity` measures; `python -m bench.capacity_page --check`
tells whether this page drifted. Size: {WORKERS:,} workers, {STARTS_PER_S:,}
task starts/s, {TEAMS} teams, 7 regions, {DATA_CENTRES} data centres,
{CHANGES_PER_DAY:,} changes a day. Assumed: {ENTRIES_PER_DATA_CENTRE} entries a
data centre, each agent linked to the {LINKS_PER_AGENT} of its own, jobs of
{TASKS_PER_JOB} tasks on average, half of them with bookings, keys remembered
for {HORIZON_S} s. Bounds: 1.8% of a core, 128 MB and 2 KB/s for control on a
node; 6 s for a change; several hundred appends/s, taken as
{LOG_APPENDS_PER_S}.
"""

TAIL = """
## Who tells whom, and what happens when parts go

| event | messages | effect |
|---|---|---|
| steady | agent to its entries: a heartbeat a second, echoed; entry to peers: a digest a second | leases, loads, quotas |
| agent fails (70 a day) | none; its links break, or it is silent for 5 s | idempotent tasks go elsewhere, bookings that ran there end unknown |
| agent restarts (2,300 a day) | announcement and welcome on each link | known as a new incarnation at once |
| entry fails | callers resubmit; the new owner claims the next epoch and asks the roster | jobs are completed from start tables |
| rack or switch (weekly) | links of its agents break together | as above for each; below half of an entry's agents no special case |
| data centre (once or twice a year) | its entries and agents go together | callers reach other data centres through the balancer; bookings under way end unknown after the deadline |
| regions cut off | digests and forwards stop; quotas fall back to even shares | each side serves with its agents; a key owned on the other side ends unknown |

## What today's design does not reach

Claims are the first limit: every entry reads and keeps all of them. Sharded
streams need no agreement beyond the log, since the first record by offset
wins in any stream; what is to build is reading a shard on demand and the
forwarding by key. Next is the entry's cost of a frame: at the full size an
agent answers about 25 tasks a second, so frames carry one task and cost what
the echo measurement of the design gives, about 175 us; 140,000/s then need
four to six entries a data centre rather than two. Links to all peers (41) are
third: digests per data centre first, sums beyond.
"""


def main(check: bool = False) -> None:
    """Write the page, or check it.

    Args:
        check: Compare instead of writing.

    """
    document = json.loads(SLOPES.read_text())
    lines = {line["name"]: line for line in document["lines"]}
    page = render(lines)
    if not check:
        PAGE.write_text(page)
        return
    if page != PAGE.read_text():
        print("docs/CAPACITY.md drifted from bench/slopes.json")
        sys.exit(1)
    print("docs/CAPACITY.md matches bench/slopes.json")


if __name__ == "__main__":
    cyclopts.run(main)
