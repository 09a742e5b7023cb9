"""The gateway: routes callers' requests to engines and plain services."""
