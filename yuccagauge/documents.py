"""JSON documents that other programs write."""

import json
from typing import Any


def parse_document(data: bytes | str) -> Any:
    """Return the value of a JSON document whose texts are all Unicode.

    ``json.loads`` lets single surrogates pass, raw and as escapes. They cannot
    be encoded, and so fail wherever the text is sent on.

    Raises
    ------
    ValueError
        If the document is not JSON, or has a text that is not Unicode.
    """
    text = data.decode() if isinstance(data, bytes) else data
    try:
        document = json.loads(text)
    except RecursionError:
        raise ValueError('the document is nested too deeply') from None
    if r'\u' in text:
        # Only escapes can hold surrogates here.
        json.dumps(document, ensure_ascii=False).encode()
    return document


def replace_surrogates(text: str) -> str:
    """Return a text that can be encoded; a surrogate becomes ``?``."""
    return text.encode('utf-8', 'replace').decode()
