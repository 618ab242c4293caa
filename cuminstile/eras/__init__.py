"""Tell apart what a store says before and after it came back from an older copy."""
