"""Seeded fault-injection runs of entries and brokers in one process."""
