"""Runs entries and agents as real processes against stand-ins of the platform and checks that no task runs twice."""
