"""Sessions, membership and messages between VMs."""
