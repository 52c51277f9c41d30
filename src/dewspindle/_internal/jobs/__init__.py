"""Multi-step jobs, run on workers that the leader calls."""
