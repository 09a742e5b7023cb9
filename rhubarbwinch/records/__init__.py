"""Defines operators' records, their schemas and the accepted configuration."""
