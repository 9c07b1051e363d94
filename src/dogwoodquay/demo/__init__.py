"""The demonstration: the main job on stand-ins, in one process."""
