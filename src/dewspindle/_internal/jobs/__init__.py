"""Jobs of several steps, run on workers that the leader calls."""
