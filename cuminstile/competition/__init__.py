"""Decisions where callers compete for the room of the stages. Does no I/O."""
