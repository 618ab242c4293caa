"""Trials of policies in one process, on a virtual clock and over several seeds."""
