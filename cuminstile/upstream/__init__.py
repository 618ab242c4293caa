"""Calls to the upstreams, and what this VM knows about them."""
