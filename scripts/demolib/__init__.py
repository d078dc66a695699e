"""The demo: a small fleet of real processes on loopback and the cases that are run against it."""
