"""Work that one VM at a time does for all: usage reports, orders of upstreams."""
