"""Check a manifest before it is published, and tell what it would change."""
