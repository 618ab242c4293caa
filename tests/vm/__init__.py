"""Test cuminstile.vm."""
