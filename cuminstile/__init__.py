"""Serving system for multi-stage model pipelines, run on many small entry VMs."""

__version__ = "0.1.0"
