"""Stand-ins, load, judge and experiments used to measure dogwooddock."""
