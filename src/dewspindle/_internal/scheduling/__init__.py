"""Scheduling: placement of tasks on workers, preemption, and workers set aside for gangs."""
