"""Simulated platform, upstreams and callers for tests and measurements."""
