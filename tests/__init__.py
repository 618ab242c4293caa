"""Tests of the package; the folders mirror it."""
