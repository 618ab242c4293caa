"""Test cuminstile.estimates."""
