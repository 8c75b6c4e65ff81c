"""Benchmarks, simulations and fault tests, with the stand-ins that they run on."""
