"""Faults planted in a copy of the program, which the soak must find."""
