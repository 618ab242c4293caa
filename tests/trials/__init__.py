"""Tests of the trials of policies."""
