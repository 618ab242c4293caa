"""Test the trials of policies."""
