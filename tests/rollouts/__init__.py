"""Tests of what VMs remember of versions."""
