"""Tests of the duties that one VM at a time has."""
