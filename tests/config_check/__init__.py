"""Tests of cuminstile.config_check."""
