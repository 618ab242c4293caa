"""Test cuminstile.operator."""
