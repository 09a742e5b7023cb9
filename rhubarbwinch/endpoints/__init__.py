"""Calls to endpoints: retries, relayed streams, tokens that are billed."""
