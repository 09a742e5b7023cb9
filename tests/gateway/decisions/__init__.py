"""Tests of the decisions of a gateway."""
