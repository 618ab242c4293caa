"""Check the scenario language, and run every scenario."""
