"""Serves the requests of callers, up to the last byte of the response."""
