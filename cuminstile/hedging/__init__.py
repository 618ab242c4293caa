"""Second sends of requests that may be repeated, to cut the slowest answers."""
