"""Benchmarks, simulations, the demo and stand-ins for external systems."""
