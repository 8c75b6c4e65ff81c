"""How nodes find each other."""
