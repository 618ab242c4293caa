"""Test standins."""
