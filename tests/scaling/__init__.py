"""Tests of the number of upstreams."""
