"""Remember which versions of a service get traffic, beyond the life of a process."""
