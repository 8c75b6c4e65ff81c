"""Authentication of callers by the API keys of client accounts."""

__all__ = ["Authentication"]

from ..http1.server import Exchange
from ..policy.accounts import AccountTable, ClientAccount, KeyCheck, check_key
from ..policy.outcomes import Reason
from .configproofs import ConfigProofs
from .errorresponses import ErrorResponses
from .routing import MeshRoute
from .wireformat import CallerFields


class Authentication:
    """Find the account whose key a request carries, or refuse the request.

    Args:
        errors: Responds to requests that are refused.
        proofs: Tells whether the configuration is recent enough for API keys; None if
            it need not be.
    """

    def __init__(self, errors: ErrorResponses, proofs: ConfigProofs | None):
        self._errors = errors
        self._proofs = proofs

    def identify(
        self,
        exchange: Exchange,
        fields: CallerFields,
        route: MeshRoute,
        accounts: AccountTable,
    ) -> ClientAccount | None:
        """Return the account of a request; None if it was refused."""
        check = check_key(accounts, fields.api_keys, fields.request_id)
        proofs = self._proofs
        if proofs is not None and _is_stale_for(proofs, check, fields):
            self._errors.refuse_stale(exchange, fields, route, proofs)
            return None
        if check.account is None:
            self._errors.refuse_key(exchange, fields, route, check)
        return check.account


def _is_stale_for(proofs: ConfigProofs, check: KeyCheck, fields: CallerFields) -> bool:
    """Report whether a newer configuration might decide otherwise about a key."""
    if check.account is not None:
        return not proofs.permits_keys()
    is_unknown = check.reason is Reason.UNKNOWN_KEY and any(fields.api_keys)
    return is_unknown and not proofs.permits_denial()
