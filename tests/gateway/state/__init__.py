"""Tests of the state that gateways share through the store."""
