"""Fakes for the interfaces of the package, shared by the tests."""
