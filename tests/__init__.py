"""Test the package; the folders mirror it."""
