"""Talk to the other VMs."""
