"""Value types shared by all components."""
