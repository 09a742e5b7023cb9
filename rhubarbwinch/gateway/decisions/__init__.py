"""Decisions of a gateway: pure code, each with the load that it answers."""
