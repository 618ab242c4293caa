"""Test cuminstile.caller."""
