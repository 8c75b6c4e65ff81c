"""Maude specification of the core protocols and its model checker."""
