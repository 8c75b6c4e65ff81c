"""Operators: the command line and the admin port."""
