"""Seeded soak of `platform/start.py`: real processes under drawn disturbances."""
