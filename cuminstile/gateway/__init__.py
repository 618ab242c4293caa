"""Serve opaque requests: route, admit, schedule stages, forward and retry them."""
