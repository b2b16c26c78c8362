"""State charts in files, and the interpreter that steps through them."""
