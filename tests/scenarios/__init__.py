"""Tests of the scenario language and of every scenario file."""
