"""A seeded run of faults, together and twice, against all that must hold."""
