"""Tests of cuminstile.hedging."""
