"""Operator interfaces: the command line and the admin port."""
