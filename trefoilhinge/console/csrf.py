"""Protection against cross-site request forgery and DNS rebinding.

The console has no sessions and no cookies. Each form carries a token signed
with a secret of the process, which other sites cannot read. The ``Origin`` and
``Sec-Fetch-Site`` headers, if the browser sets them, must match this console.
The ``Host`` header must be an IP address or localhost, so that no other host
name can be made to resolve to the console.
"""

import hashlib
import hmac
import ipaddress
from collections.abc import Mapping
from urllib.parse import SplitResult, urlsplit

from attrs import frozen

from trefoilhinge.console.exceptions import FormRefused

TOKEN_LIFETIME_S = 12 * 3600
_ALLOWED_FETCH_SITES = frozenset(('same-origin', 'none'))
_FORBIDDEN = '403 Forbidden'


@frozen
class FormTokenSigner:
    """Signer that creates and verifies the tokens of forms.

    :ivar secret: random bytes of this process, the key of the signatures.
    """

    secret: bytes

    def make_token(self, now_s: float) -> str:
        """Return a token for a form.

        :param now_s: wall-clock time in seconds.
        """
        timestamp = str(int(now_s))
        return f'{timestamp}.{self._compute_signature(timestamp)}'

    def check_token(self, token: str, now_s: float) -> None:
        """Verify that a token is from this process and has not expired.

        :param now_s: wall-clock time in seconds.
        :raises FormRefused: the token is invalid or has expired.
        """
        timestamp, _, signature = token.partition('.')
        is_valid = hmac.compare_digest(
            signature.encode(),
            self._compute_signature(timestamp).encode(),
        )
        if not is_valid or now_s - int(timestamp) > TOKEN_LIFETIME_S:
            raise FormRefused(
                _FORBIDDEN,
                'This form has expired or is not from this console. Go back, '
                'copy the values that you need and reopen the console.',
            )

    def _compute_signature(self, timestamp: str) -> str:
        mac = hmac.new(self.secret, timestamp.encode(), hashlib.sha256)
        return mac.hexdigest()


def check_host(headers: Mapping[str, str]) -> None:
    """Refuse a request for a host name other than localhost.

    Any other name could be made to resolve to the console by DNS rebinding.

    :param headers: WSGI environment of the request.
    :raises FormRefused: the host is neither an IP address nor localhost.
    """
    host = headers.get('HTTP_HOST', '')
    hostname = _split_netloc(f'//{host}').hostname or ''
    if hostname == 'localhost':
        return
    try:
        ipaddress.ip_address(hostname)
    except ValueError:
        raise FormRefused(
            '421 Misdirected Request',
            'Open the console by its IP address or as localhost.',
        ) from None


def check_origin(headers: Mapping[str, str]) -> None:
    """Refuse a POST request that originates from another site.

    :param headers: WSGI environment of the request.
    :raises FormRefused: the request does not originate from this console.
    """
    host = headers.get('HTTP_HOST', '')
    origin = headers.get('HTTP_ORIGIN')
    fetch_site = headers.get('HTTP_SEC_FETCH_SITE', 'none')
    # Browsers send the string "null" for an origin that they withhold.
    is_cross_origin = (
        origin is not None and _split_netloc(origin).netloc != host
    )
    if is_cross_origin or fetch_site not in _ALLOWED_FETCH_SITES:
        raise FormRefused(
            _FORBIDDEN,
            'This form was refused because another site sent it.',
        )


def _split_netloc(url: str) -> SplitResult:
    try:
        return urlsplit(url)
    except ValueError:
        return urlsplit('')
