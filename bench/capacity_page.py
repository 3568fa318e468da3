"""Computes docs/CAPACITY.md from ``bench/slopes.json``.

With ``--check`` compares instead, and exits with 1 if the page is out of date.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import NamedTuple

import cyclopts

PAGE_PATH = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
SLOPES_PATH = Path(__file__).parent / "slopes.json"

# The deployment that the page is about.
WORKERS = 5_700
STARTS_PER_S = 140_000
TEAMS = 77
DATA_CENTRES = 21
CHANGES_PER_DAY = 3_400
RESTARTS_PER_DAY = 2_300
# Assumptions about it.
ENTRIES_PER_DATA_CENTRE = 2
LINKS_PER_AGENT = 2
TASKS_PER_JOB = 100
# Share of the jobs, and so of the tasks, with bookings.
BOOKING_SHARE = 0.5
KEY_RETENTION_S = 600
# Default of ``claim_interval_ms``.
CLAIM_INTERVAL_S = 0.010
# Bounds: appends to the log, control work and memory of a node, and the time until
# a change is in force.
MAX_LOG_APPENDS_PER_S = 300
MAX_CONTROL_CORES = 0.018
MAX_MEMORY_MB = 128
MAX_CONTROL_BYTES_PER_S = 2_048
MAX_CHANGE_S = 6.0
# Bytes in a claim record: of each agent in its roster, and of each claim.
ROSTER_AGENT_BYTES = 20
CLAIM_BYTES = 30
CONFIG_POLL_S = 0.5
CLAIM_POLL_S = 1.0
# Duration of one append to the log, or of one read.
LOG_CALL_S = 0.010
SECONDS_PER_DAY = 86_400


class Row(NamedTuple):
    """A row of the page's table.

    ``note`` explains the figure, or what would bring it below its bound.
    """

    role: str
    quantity: str
    figure: float
    unit: str
    bound: float | None
    note: str

    def verdict(self) -> str:
        """Return whether the figure is within its bound, followed by the note."""
        if self.bound is None:
            return self.note
        if self.figure <= self.bound:
            return f"holds ({self.figure / self.bound:.0%} of the bound). {self.note}"
        excess_factor = self.figure / self.bound
        return f"**falls short by {excess_factor:.1f}x**: {self.note}"


# Fitted lines by name, as in slopes.json.
FittedLines = dict[str, dict[str, float]]


def line_value(lines: FittedLines, name: str, x: float) -> float:
    """Return the value of a fitted line at ``x``."""
    return lines[name]["slope"] * x + lines[name]["intercept"]


def agent_rows(lines: FittedLines) -> list[Row]:
    """Return the table rows about an agent."""
    starts_per_s = STARTS_PER_S / WORKERS
    table_rows = starts_per_s * BOOKING_SHARE * KEY_RETENTION_S + starts_per_s * 12
    table_mb = line_value(lines, "table_bytes_by_rows", table_rows) / 1e6
    memory_mb = line_value(lines, "agent_mb_by_entries", LINKS_PER_AGENT) + table_mb
    bytes_per_task = line_value(lines, "frame_bytes_by_tasks", 1)
    role = "agent (minion or worker)"
    return [
        Row(
            role,
            "processor, control",
            line_value(lines, "agent_cpu_by_entries", LINKS_PER_AGENT),
            "cores",
            MAX_CONTROL_CORES,
            "A heartbeat and its echo a second on each link; ticks.",
        ),
        Row(
            role,
            "bytes, control, both ways",
            lines["bytes_by_agents"]["slope"],
            "bytes/s",
            MAX_CONTROL_BYTES_PER_S,
            f"{LINKS_PER_AGENT} links; headers of TCP/IP and HTTP/2 included.",
        ),
        Row(
            role,
            "memory",
            memory_mb,
            "MB",
            MAX_MEMORY_MB,
            f"Start table of {table_rows:,.0f} rows ({table_mb:.0f} MB) beside the libraries.",
        ),
        Row(
            role,
            "task starts",
            starts_per_s,
            "per s",
            None,
            "Data: carried on the same streams.",
        ),
        Row(
            role,
            "bytes, data",
            starts_per_s * bytes_per_task,
            "bytes/s",
            None,
            "100-byte payloads and answers, one task a frame.",
        ),
        Row(role, "log", 0.0, "appends/s", None, "An agent never talks to the log."),
    ]


def entry_rows(lines: FittedLines) -> list[Row]:
    """Return the table rows about an entry."""
    entries = DATA_CENTRES * ENTRIES_PER_DATA_CENTRE
    agents_per_entry = WORKERS * LINKS_PER_AGENT / entries
    starts_per_s = STARTS_PER_S / entries
    jobs_per_s = STARTS_PER_S / TASKS_PER_JOB
    claims_kept = jobs_per_s * BOOKING_SHARE * KEY_RETENTION_S
    claim_mb = line_value(lines, "claim_bytes_by_claims", claims_kept) / 1e6
    shard_claim_mb = (
        line_value(lines, "claim_bytes_by_claims", claims_kept / entries) / 1e6
    )
    job_us = line_value(lines, "entry_us_by_job_tasks", TASKS_PER_JOB)
    data_cores = starts_per_s / TASKS_PER_JOB * job_us / 1e6
    idle_cores = line_value(lines, "entry_cpu_by_agents", agents_per_entry)
    memory_mb = line_value(lines, "entry_mb_by_agents", agents_per_entry)
    claim_records_per_s = entries * min(
        jobs_per_s * BOOKING_SHARE / entries, 1 / CLAIM_INTERVAL_S
    )
    claims_per_record = jobs_per_s * BOOKING_SHARE / claim_records_per_s
    claim_cores = (
        line_value(lines, "fold_us_by_claims", claims_per_record)
        * claim_records_per_s
        / 1e6
    )
    claim_bytes_per_s = claim_records_per_s * (
        agents_per_entry * ROSTER_AGENT_BYTES + claims_per_record * CLAIM_BYTES
    )
    digest_bytes = line_value(lines, "digest_bytes_by_teams", TEAMS)
    data_centre_peers = ENTRIES_PER_DATA_CENTRE - 1
    role = "entry"
    return [
        Row(
            role,
            "processor, data",
            data_cores,
            "cores",
            1.0,
            f"{starts_per_s:,.0f} starts/s in jobs of {TASKS_PER_JOB}; measured at 6 agents, where frames carry several tasks. With {agents_per_entry:.0f} agents most frames carry one: see below.",
        ),
        Row(
            role,
            "processor, control",
            idle_cores,
            "cores",
            MAX_CONTROL_CORES,
            f"heartbeats of {agents_per_entry:.0f} agents, each a message. Carried next by a heartbeat every 4 s when answers already carry the load, and by more, smaller entries.",
        ),
        Row(
            role,
            "processor, reading all claims",
            claim_cores,
            "cores",
            MAX_CONTROL_CORES,
            "every entry reads every claim. Carried next by claim streams sharded by key: an entry reads a shard only for keys that it is asked for, and callers' keys are forwarded to the shard's usual entry.",
        ),
        Row(
            role,
            "bytes, reading all claims",
            claim_bytes_per_s,
            "bytes/s",
            MAX_CONTROL_BYTES_PER_S,
            "as above; and the roster once an epoch of membership instead of in each record.",
        ),
        Row(
            role,
            "memory without claims",
            memory_mb,
            "MB",
            MAX_MEMORY_MB,
            f"{agents_per_entry:.0f} agents' links, two threads each. Carried next by fewer agents an entry (3 or 4 entries a data centre) or an event loop for links.",
        ),
        Row(
            role,
            "memory of all claims",
            claim_mb,
            "MB",
            MAX_MEMORY_MB,
            f"{claims_kept:,.0f} claims of {KEY_RETENTION_S} s. With shards {shard_claim_mb:.0f} MB an entry.",
        ),
        Row(
            role,
            "bytes, digests to all entries",
            digest_bytes * (entries - 1),
            "bytes/s",
            MAX_CONTROL_BYTES_PER_S,
            f"{TEAMS} teams to {entries - 1} peers a second. To the entries of its own data centre only ({data_centre_peers}) it is {digest_bytes * data_centre_peers:,.0f}; sums per data centre then go on at a tenth of the pace.",
        ),
        Row(
            role,
            "task starts",
            starts_per_s,
            "per s",
            None,
            f"{entries} entries, {ENTRIES_PER_DATA_CENTRE} a data centre.",
        ),
        Row(
            role,
            "decisions alone",
            line_value(lines, "decision_us_by_agents", agents_per_entry)
            * starts_per_s
            / 1e6,
            "cores",
            None,
            f"At {agents_per_entry:.0f} agents; nearly flat in their number.",
        ),
    ]


def log_rows(lines: FittedLines) -> list[Row]:
    """Return the table rows about the log, changes and operators' commands."""
    entries = DATA_CENTRES * ENTRIES_PER_DATA_CENTRE
    booking_jobs_per_s = STARTS_PER_S / TASKS_PER_JOB * BOOKING_SHARE
    claim_appends_per_s = min(booking_jobs_per_s, entries / CLAIM_INTERVAL_S)
    sustainable_interval_s = entries / MAX_LOG_APPENDS_PER_S
    in_force_s = 2 * LOG_CALL_S + CONFIG_POLL_S + 0.1
    role = "log"
    return [
        Row(
            role,
            "appends of claims",
            claim_appends_per_s,
            "per s",
            MAX_LOG_APPENDS_PER_S,
            f"with `claim_interval_ms` {sustainable_interval_s * 1_000:.0f} it holds, at {sustainable_interval_s * 500:.0f} ms more for a booking on average; owners per shard that append for others halve it.",
        ),
        Row(
            role,
            "appends of changes",
            CHANGES_PER_DAY / SECONDS_PER_DAY,
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
            in_force_s,
            "s",
            MAX_CHANGE_S,
            "Append, read back, poll of other entries, then a notice on each agent's stream. Entries cut off from the log learn it from peers.",
        ),
        Row(
            "operator",
            "notices of changes",
            WORKERS * LINKS_PER_AGENT * CHANGES_PER_DAY / SECONDS_PER_DAY,
            "messages/s",
            None,
            f"Over all entries; {LINKS_PER_AGENT} an agent.",
        ),
        Row(
            "entry",
            "telling changes to agents",
            line_value(
                lines, "preset_us_by_agents", WORKERS * LINKS_PER_AGENT / entries
            )
            * CHANGES_PER_DAY
            / SECONDS_PER_DAY
            / 1e6,
            "cores",
            MAX_CONTROL_CORES,
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
            RESTARTS_PER_DAY * LINKS_PER_AGENT / SECONDS_PER_DAY,
            "messages/s",
            None,
            "Each with a welcome.",
        ),
    ]


def render(lines: FittedLines) -> str:
    """Return the text of the page."""
    rows = agent_rows(lines) + entry_rows(lines) + log_rows(lines)
    by_distance = sorted(
        (row for row in rows if row.bound),
        key=lambda row: abs((row.figure / (row.bound or 1)) - 1),
    )
    nearest = [row for row in by_distance if row.figure <= (row.bound or 0)][:3]
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
for {KEY_RETENTION_S} s. Bounds: 1.8% of a core, 128 MB and 2 KB/s for control on a
node; 6 s for a change; several hundred appends/s, taken as
{MAX_LOG_APPENDS_PER_S}.
"""

TAIL = """
## The burst programs on a platform, from 30 to 300 instances

A sweep of one day on the deployment `mvpl-meter-grown`, commit f4615d2, one play beside
other load: no rule broken; served 0.930, 0.941 and 0.944. Mean and busiest of each role:

| quantity | 30 | 100 | 300 | grows as instances to the power |
|---|---|---|---|---|
| agent, processor % | 1.9, 6.3 | 1.3, 4.7 | 1.2, 5.0 | -0.1 |
| agent, memory MB | 12.6, 13.5 | 12.2, 13.6 | 12.2, 13.5 | 0 |
| agent, KB/s | 4.2, 29.3 | 2.7, 29.1 | 3.6, 76.7 | 0.41 |
| agent, connections | 22, 22 | 24, 27 | 27, 37 | 0.22 |
| entry, processor % | 8.6, 21.1 | 7.2, 12.2 | 8.2, 11.2 | -0.28 |
| entry, memory MB | 16.3, 18.0 | 15.9, 17.9 | 16.1, 17.8 | -0.01 |
| entry, KB/s | 55.8, 77.0 | 46.1, 72.1 | 43.8, 54.6 | -0.15 |
| entry, connections | 139, 277 | 142, 255 | 154, 260 | -0.03 |

The bytes of the busiest agent grow fastest. Serving after the loss of all instances began
within 0.5 s at each size.

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
    """Write docs/CAPACITY.md, or check it.

    Args:
        check: Compare the page with the slopes instead of writing it.

    """
    document = json.loads(SLOPES_PATH.read_text())
    lines = {line["name"]: line for line in document["lines"]}
    page = render(lines)
    if not check:
        PAGE_PATH.write_text(page)
        return
    if page != PAGE_PATH.read_text():
        print("docs/CAPACITY.md does not match bench/slopes.json")
        sys.exit(1)
    print("docs/CAPACITY.md matches bench/slopes.json")


if __name__ == "__main__":
    cyclopts.run(main)
