"""Generated from proto/; see proto/generate.py."""
