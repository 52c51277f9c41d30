"""Stand-in workers and backend servers for tests, benchmarks and `dewspindle dev`."""
