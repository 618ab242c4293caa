"""Adapter between the users' platform and the types of this package."""
