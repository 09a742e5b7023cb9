"""A randomized run of the real gateways under faults from outside them."""
