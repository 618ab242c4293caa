"""Tests of cuminstile.memory."""
