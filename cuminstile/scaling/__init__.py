"""Number of upstreams that run: what callers demand, and what is ordered for it."""
