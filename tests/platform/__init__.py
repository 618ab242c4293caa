"""Test cuminstile.platform."""
