"""A randomized fault-injection test of real gateway processes."""
