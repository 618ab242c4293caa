"""The end of a process: what is in progress, and until when it can be answered."""
