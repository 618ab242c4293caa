"""Serve multi-stage model pipelines from many small entry VMs."""

__version__ = "0.1.0"
