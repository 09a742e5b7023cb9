"""Requests of callers, from the API key to the last byte of the answer."""
