"""Stand-ins for the platform, its executors, its operator and its clients."""
