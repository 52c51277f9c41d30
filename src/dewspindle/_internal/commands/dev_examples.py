"""Example records and workers for `dewspindle dev`."""

from typing import Any

from ..models.resources import Amounts

ZONES = ("zone-a", "zone-b", "zone-c")
WORKER_COUNT = 6
WORKER_CAPACITY = Amounts(processors=8000, memory_mb=32768)

EXAMPLES: list[dict[str, Any]] = [
    {
        "schema_version": 2,
        "name": "price-checks",
        "team": "listing",
        "kind": "service",
        "priority": "urgent",
        "tasks": 3,
        "resources": {"processors": 500, "memory_mb": 512},
        "placement": {"spread": "zone"},
        "command": ["serve"],
    },
    {
        "schema_version": 2,
        "name": "valuations",
        "team": "reports",
        "kind": "batch",
        "tasks": 6,
        "resources": {"processors": 2000, "memory_mb": 2048},
        "expected_run_s": 1,
        "command": ["sleep", "0.3"],
    },
    {
        "schema_version": 2,
        "name": "photo-model",
        "team": "photos",
        "kind": "gang",
        "tasks": 4,
        "resources": {"processors": 4000, "memory_mb": 4096},
        "expected_run_s": 1,
        "command": ["sleep", "0.3"],
    },
    {
        "schema_version": 1,
        "name": "stock-list",
        "type": "batch",
        "cpus": 1,
        "mem_gb": 1,
        "count": 2,
        "command": ["sleep", "0.2"],
    },
    {
        "schema_version": 2,
        "name": "broken-import",
        "team": "reports",
        "kind": "batch",
        "max_attempts": 1,
        "resources": {"processors": 500, "memory_mb": 256},
        "command": ["fail"],
    },
    {
        "schema_version": 2,
        "name": "oversized",
        "team": "reports",
        "kind": "batch",
        "resources": {"processors": 64000, "memory_mb": 1024},
    },
]
