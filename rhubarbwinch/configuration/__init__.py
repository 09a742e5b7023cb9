"""Publishes operators' records and distributes them to every process."""
