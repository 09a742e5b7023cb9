"""Sends orders to endpoints, from one lease holder per pool at a time."""
