"""Tables and objects that the product keeps on a platform."""
