"""Test cuminstile.gateway."""
