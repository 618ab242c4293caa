"""Test cuminstile.objects."""
