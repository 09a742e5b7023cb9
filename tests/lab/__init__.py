"""Tests of the modules in `lab`."""
