"""State that gateways share through the store."""
