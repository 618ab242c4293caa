"""Measure decisions in one process, on a virtual clock and over seeds."""
