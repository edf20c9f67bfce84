"""Estimation of the bytes per prompt token of each service."""

from attrs import define, field

DEFAULT_BYTES_PER_TOKEN = 4.0
MINIMUM_BYTES_PER_TOKEN = 1.0
MAXIMUM_BYTES_PER_TOKEN = 8.0
MINIMUM_SAMPLE_TOKENS = 64
SMOOTHING_FACTOR = 0.05
MAXIMUM_SERVICES = 1024


@define
class TokenEstimator:
    """Moving average of the bytes per token, by service.

    Token counts come from engines. The estimate is clamped, so that an engine
    that reports wrong counts changes limits and charges by at most a known
    factor.
    """

    _bytes_per_token: dict[str, float] = field(factory=dict)

    def find_bytes_per_token(self, service: str) -> float:
        """Return the estimated bytes per token of a service."""
        return self._bytes_per_token.get(service, DEFAULT_BYTES_PER_TOKEN)

    def record_prompt(
        self, service: str, prompt_bytes: int, prompt_tokens: int
    ) -> None:
        """Record the token count that an engine reported for a prompt.

        :param prompt_tokens: reported count; short prompts are ignored, as
            the tokens of the chat template would distort the ratio.
        """
        if prompt_tokens < MINIMUM_SAMPLE_TOKENS or not prompt_bytes:
            return
        if service not in self._bytes_per_token and (
            len(self._bytes_per_token) >= MAXIMUM_SERVICES
        ):
            return
        observed = _clamp(prompt_bytes / prompt_tokens)
        bytes_per_token = self.find_bytes_per_token(service)
        self._bytes_per_token[service] = bytes_per_token + SMOOTHING_FACTOR * (
            observed - bytes_per_token
        )


def _clamp(bytes_per_token: float) -> float:
    return min(
        max(bytes_per_token, MINIMUM_BYTES_PER_TOKEN), MAXIMUM_BYTES_PER_TOKEN
    )
