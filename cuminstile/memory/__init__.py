"""The memory, descriptors and processor time that a process gives to its clients."""
