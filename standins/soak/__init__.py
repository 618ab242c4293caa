"""A soak of the real program under faults that a seed draws.

The program runs as separate processes between callers and upstreams of the soak's own.
What callers and upstreams saw is written as observations; the checks judge these alone
and never the program's logs.
"""
