"""Names, formats and calls of the platform that the nodes run on."""
