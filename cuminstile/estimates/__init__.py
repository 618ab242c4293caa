"""Estimates of what each upstream can do now, from its reports and its answers."""
