"""Calls endpoints: retries, relayed streams and counts of billed tokens."""
