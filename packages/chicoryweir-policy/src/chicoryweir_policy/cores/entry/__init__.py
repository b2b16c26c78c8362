"""Core of an entry: admission, dispatch, retries, hedges and answer delivery."""
