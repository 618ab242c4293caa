"""Prove and check the keys of VM-to-VM sessions without sending them."""

import hmac


def make_proof(key: str, role: str, name: str, nonce: str) -> str:
    """Return the proof that `name` knows `key`, bound to a role and a nonce."""
    text = "\0".join((role, name, nonce)).encode()
    return hmac.new(key.encode(), text, "sha256").hexdigest()


def is_valid_proof(
    keys: tuple[str, ...], proof: str, role: str, name: str, nonce: str
) -> bool:
    """Return whether `proof` fits one of the valid keys, in constant time."""
    given = proof.encode()
    matches = [
        hmac.compare_digest(make_proof(key, role, name, nonce).encode(), given)
        for key in keys
    ]
    return any(matches)
