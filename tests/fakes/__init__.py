"""Share small fakes at the interfaces of the package."""
