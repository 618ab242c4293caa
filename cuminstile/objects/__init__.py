"""The objects that operators publish, and the checks of a complete set."""
