"""Talk to the upstreams."""
