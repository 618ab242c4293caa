"""Serve the operators over HTTP."""
