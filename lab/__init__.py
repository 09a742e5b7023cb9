"""Experiments, the demonstration and stand-ins for outside systems."""
