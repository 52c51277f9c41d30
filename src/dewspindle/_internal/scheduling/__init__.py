"""Scheduling: placement of tasks on workers, preemption and reservation."""
