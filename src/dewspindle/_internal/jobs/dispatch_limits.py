"""Limits of the job dispatcher that the deployment configures."""

from dataclasses import dataclass, field

from .fleet import HeartbeatLimits


@dataclass(frozen=True, slots=True)
class DispatchLimits:
    """Limits that the deployment configures."""

    lease_s: float  # Lease of all tasks on a worker.
    keep_ended_ms: int  # How long the state of an ended job can be read.
    early_ms: int = 0  # How long before its due time an occurrence may start.
    heartbeats: HeartbeatLimits = field(default_factory=HeartbeatLimits)
    paces_starts: bool = False  # Whether starts are limited while the event loop falls behind.
    max_lease_s: float = 0.0  # Longest lease that workers accept, if longer than `lease_s`.
    # Whether run times are learnt from, so that starts avoid slow workers and bad neighbours.
    avoids_interference: bool = False
