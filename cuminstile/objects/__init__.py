"""Hold the operators' objects and the checks over a whole set of them."""
