"""Tests of the eras of the store."""
