"""Challenge-response authentication of VM sessions; keys are never sent."""

import hmac


def make_proof(key: str, role: str, name: str, nonce: str) -> str:
    """Return an HMAC that proves that `name` has `key`, bound to a role and nonce."""
    text = "\0".join((role, name, nonce)).encode()
    return hmac.new(key.encode(), text, "sha256").hexdigest()


def is_valid_proof(
    keys: tuple[str, ...], proof: str, role: str, name: str, nonce: str
) -> bool:
    """Return whether `proof` was made with one of `keys`; runs in constant time."""
    given = proof.encode()
    matches = [
        hmac.compare_digest(make_proof(key, role, name, nonce).encode(), given)
        for key in keys
    ]
    return any(matches)
