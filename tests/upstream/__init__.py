"""Test cuminstile.upstream."""
