"""Tables and plots for docs/CAPACITY.md, computed from measured slopes.

Usage: python -m bench.capacity_page
"""

import json
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

from .results import Fit, fit_line

DOCS = Path(__file__).parent.parent / "docs"
SLOPES = DOCS / "measurements" / "slopes.jsonl"
PLOT = DOCS / "measurements" / "slopes.png"
PAGE = DOCS / "CAPACITY.md"
TABLES_BEGIN = "<!-- begin tables: made by python -m bench.capacity_page -->"
TABLES_END = "<!-- end tables -->"

# The target size.
WORKERS = 960
JOBS_PER_DAY = 4700
STARTS_PER_S = 320
CHANGES_PER_DAY = 2200
BACKENDS = 192
LINK_INSTANCES = 7  # Instances that the workers poll.

# As in the stand-ins.
POLL_INTERVAL_S = 3.0
ANNOUNCEMENT_INTERVAL_S = 2.0

DAY_S = 86_400
WORKER_BYTES_PER_S_BUDGET = 7_000


@dataclass(frozen=True, slots=True)
class Slope:
    """A fitted line and its points."""

    name: str
    unit: str
    fit: Fit
    points: list[tuple[float, float]]


def read_points() -> dict[str, list[dict[str, Any]]]:
    """Return the measured points, grouped by subject."""
    points: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for line in SLOPES.read_text(encoding="utf-8").splitlines():
        point = json.loads(line)
        points[point["of"]].append(point)
    return points


def make_slope(
    points: list[dict[str, Any]], name: str, unit: str, key: str, *, is_rate: bool = False
) -> Slope:
    """Fit a key's values, or their rates per second, against the size; leave out size 0."""
    pairs = [
        (float(p["size"]), p[key] / (p["seconds"] if is_rate else 1)) for p in points if p["size"]
    ]
    return Slope(name=name, unit=unit, fit=fit_line(pairs), points=pairs)


def make_slopes() -> dict[str, Slope]:
    """Return all slopes by short name."""
    points = read_points()
    workers, backends = points["workers"], points["backend servers"]
    return {
        "record_bytes": make_slope(
            points["records in the state"], "state of a record of 10 tasks", "bytes", "bytes"
        ),
        "record_serialize": make_slope(
            points["records in the state"],
            "serializing a record of 10 tasks",
            "s",
            "serialize_s",
        ),
        "worker_bytes": make_slope(
            points["workers in the state"], "state of a worker", "bytes", "bytes"
        ),
        "worker_leader": make_slope(
            workers, "leader, a polling worker", "core", "leader_cpu_s", is_rate=True
        ),
        "worker_other": make_slope(
            workers,
            "other instance, a polling worker of the cell",
            "core",
            "other_cpu_s",
            is_rate=True,
        ),
        "worker_wire": make_slope(
            workers,
            "all links, a polling worker",
            "bytes/s",
            "loopback_bytes",
            is_rate=True,
        ),
        "worker_memory": make_slope(
            workers, "leader's memory, a polling worker", "MB", "leader_memory_mb"
        ),
        "start_leader": make_slope(
            points["starts"], "leader, a task started and ended", "core s", "leader_cpu_s"
        ),
        "start_other": make_slope(
            points["starts"], "other replica, a task started and ended", "core s", "other_cpu_s"
        ),
        "start_wire": make_slope(
            points["starts"], "all links, a task started and ended", "bytes", "loopback_bytes"
        ),
        "change_leader": make_slope(
            points["config changes"], "leader, a configuration change", "core s", "leader_cpu_s"
        ),
        "change_other": make_slope(
            points["config changes"],
            "other replica, a configuration change",
            "core s",
            "other_cpu_s",
        ),
        "call_entry": make_slope(
            points["calls"], "entry instance, a call", "core s", "entry_cpu_s"
        ),
        "claim_entry": make_slope(
            points["claimed calls"], "entry instance, a claimed call", "core s", "entry_cpu_s"
        ),
        "claim_leader": make_slope(
            points["claimed calls"], "leader, a claimed call", "core s", "leader_cpu_s"
        ),
        "backend_leader": make_slope(
            backends, "leader, a backend server", "core", "leader_cpu_s", is_rate=True
        ),
        "backend_other": make_slope(
            backends, "other instance, a backend server", "core", "other_cpu_s", is_rate=True
        ),
        "backend_wire": make_slope(
            backends, "all links, a backend server", "bytes/s", "loopback_bytes", is_rate=True
        ),
    }


def make_slope_table(slopes: dict[str, Slope]) -> list[str]:
    """Return the table of slopes."""
    lines = [
        "### Slopes",
        "",
        "| what | slope | intercept | unit | sizes | largest error of the fit |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for slope in slopes.values():
        sizes = ", ".join(f"{x:g}" for x, _ in slope.points)
        lines.append(
            f"| {slope.name} | {slope.fit.slope:.3g} | {slope.fit.intercept:.3g} | {slope.unit} "
            f"| {sizes} | {slope.fit.max_relative_error:.0%} |"
        )
    return lines


def make_role_table(slopes: dict[str, Slope]) -> list[str]:
    """Return the table of the cost of each role at the target size."""
    s = {name: slope.fit.slope for name, slope in slopes.items()}
    leader_base_cores = slopes["worker_leader"].fit.intercept
    replica_base_cores = slopes["worker_other"].fit.intercept
    changes_per_s = CHANGES_PER_DAY / DAY_S
    state_mb = (JOBS_PER_DAY * s["record_bytes"] + WORKERS * s["worker_bytes"]) / 1e6
    snapshot_s = JOBS_PER_DAY * s["record_serialize"]
    leader_cores = (
        leader_base_cores
        + WORKERS * s["worker_leader"]
        + STARTS_PER_S * s["start_leader"]
        + changes_per_s * s["change_leader"]
        + BACKENDS * s["backend_leader"]
    )
    replica_cores = (
        replica_base_cores
        + WORKERS * s["worker_other"]
        + STARTS_PER_S * s["start_other"]
        + changes_per_s * s["change_other"]
        + BACKENDS * s["backend_other"]
    )
    leader_mb = slopes["worker_memory"].fit.intercept + WORKERS * s["worker_memory"] + state_mb
    calls_per_core = 1 / s["call_entry"]
    return [
        "### Roles at the target",
        "",
        "| role | state | messages | bytes | processor | memory |",
        "| --- | --- | --- | --- | --- | --- |",
        f"| leader | {state_mb:.1f} MB, a day's jobs | {WORKERS / POLL_INTERVAL_S:.0f} polls/s, "
        f"{STARTS_PER_S} starts/s | {STARTS_PER_S * s['start_wire'] / 1e6:.2f} MB/s on all links "
        f"| {leader_cores:.2f} core at the peak | {leader_mb:.0f} MB |",
        f"| replica, follower | {state_mb:.1f} MB | its share of the log "
        f"| within the leader's | {replica_cores:.2f} core at the peak | {leader_mb:.0f} MB |",
        f"| worker links of one of {LINK_INSTANCES} instances "
        f"| {WORKERS / LINK_INSTANCES:.0f} held polls "
        f"| {WORKERS / LINK_INSTANCES / POLL_INTERVAL_S:.0f} polls/s "
        f"| {WORKERS / LINK_INSTANCES * s['worker_wire'] / 1000:.0f} KB/s "
        f"| {WORKERS / LINK_INSTANCES * s['worker_other']:.3f} core | within the instance's |",
        f"| call routing of one instance | shares of {BACKENDS} backend servers, open calls "
        f"| 4 messages a call | the call's own | {s['call_entry'] * 1000:.2f} core ms a call, "
        f"{calls_per_core:.0f} calls/s a core | 256 KiB a call at most |",
        f"| claim of a call not repeatable | 50,000 claims at most | 2 log entries, batched "
        f"| within the leader's | {s['claim_entry'] * 1000:.2f} ms at the entry, "
        f"{s['claim_leader'] * 1000:.2f} ms at the leader | within the state |",
        f"| backend server | one announcement | {1 / ANNOUNCEMENT_INTERVAL_S:.1f}/s "
        f"| {s['backend_wire']:.0f} bytes/s on all links | not measured there | none of ours |",
        f"| worker | one poll | {1 / POLL_INTERVAL_S:.2f}/s "
        f"| {s['worker_wire']:.0f} bytes/s on all links, budget {WORKER_BYTES_PER_S_BUDGET} "
        f"| not measured there | none of ours |",
        "",
        f"A snapshot of a day's jobs takes {snapshot_s * 1000:.0f} ms of the event loop.",
    ]


def draw_plots(slopes: dict[str, Slope]) -> None:
    """Plot each slope with its points."""
    columns = 6
    rows = -(-len(slopes) // columns)
    figure, axes = plt.subplots(rows, columns, figsize=(4 * columns, 3 * rows))
    for axis, slope in zip(axes.flat, slopes.values(), strict=False):
        xs = [x for x, _ in slope.points]
        axis.plot(xs, [y for _, y in slope.points], "o")
        line_xs = [0.0, max(xs)]
        axis.plot(line_xs, [slope.fit.slope * x + slope.fit.intercept for x in line_xs])
        axis.set_title(slope.name, fontsize=8)
        axis.set_ylabel(slope.unit, fontsize=8)
    figure.tight_layout()
    figure.savefig(PLOT, dpi=60)


def main() -> None:
    """Update the tables in the page and draw the plots."""
    slopes = make_slopes()
    tables = "\n".join(
        [TABLES_BEGIN, "", *make_role_table(slopes), "", *make_slope_table(slopes), "", TABLES_END]
    )
    text = PAGE.read_text(encoding="utf-8")
    before, _, rest = text.partition(TABLES_BEGIN)
    _, _, after = rest.partition(TABLES_END)
    PAGE.write_text(before + tables + after, encoding="utf-8")
    draw_plots(slopes)


if __name__ == "__main__":
    main()
