"""HTTP interface of an entry for operators."""
