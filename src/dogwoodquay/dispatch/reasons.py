"""The reasons for which a request fails.

A reason is a metric label, the last part of a problem's ``type`` and a row of
the errors page for operators.
"""

from __future__ import annotations

import enum
import typing

__all__ = ['Outcome', 'REASONS', 'Reason', 'ReasonInfo', 'from_label']


class Outcome(enum.StrEnum):
    """Whether a request that gets an error has run."""

    NOT_RUN = 'not_run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class Reason(enum.StrEnum):
    """The reason for an error response."""

    # Invalid requests.
    BAD_REQUEST_LINE = 'bad_request_line'
    UNKNOWN_PATH = 'unknown_path'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    UNSUPPORTED_MEDIA_TYPE = 'unsupported_media_type'
    HEADERS_TOO_LARGE = 'headers_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    BODY_TIMEOUT = 'body_timeout'
    BODY_CUT = 'body_cut'
    BAD_UTF8 = 'bad_utf8'
    BAD_JSON = 'bad_json'
    JSON_TOO_DEEP = 'json_too_deep'
    BAD_FIELD = 'bad_field'
    BAD_HEADER = 'bad_header'
    BAD_IDEMPOTENCY_KEY = 'bad_idempotency_key'
    # Authentication, authorization and targets.
    NO_API_KEY = 'no_api_key'
    UNKNOWN_API_KEY = 'unknown_api_key'
    UNKNOWN_CALLER = 'unknown_caller'
    TARGET_NOT_ALLOWED = 'target_not_allowed'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_SERVICE = 'unknown_service'
    # Rate limits, load and state of the instance.
    CALLER_RATE = 'caller_rate'
    CALLER_IN_FLIGHT = 'caller_in_flight'
    QUEUE_FULL = 'queue_full'
    DEADLINE_UNMEETABLE = 'deadline_unmeetable'
    DEADLINE_PASSED = 'deadline_passed'
    OVERLOADED = 'overloaded'
    NO_READY_REPLICA = 'no_ready_replica'
    DRAINING = 'draining'
    INSTANCE_STOPPING = 'instance_stopping'
    NOT_READY = 'not_ready'
    # Idempotency keys.
    KEY_CONFLICT = 'key_conflict'
    KEY_RUNNING = 'key_running'
    KEY_OUTCOME_UNKNOWN = 'key_outcome_unknown'
    KEY_ANSWER_NOT_KEPT = 'key_answer_not_kept'
    KEY_EXPIRED = 'key_expired'
    KEY_MALFORMED = 'key_malformed'
    KEY_FROM_FUTURE = 'key_from_future'
    CLAIM_UNDECIDED = 'claim_undecided'
    CLAIM_VOID = 'claim_void'
    # Upstream attempts.
    UPSTREAM_UNAVAILABLE = 'upstream_unavailable'
    UPSTREAM_REFUSED = 'upstream_refused'
    UPSTREAM_FAILED = 'upstream_failed'
    UPSTREAM_BROKEN = 'upstream_broken'
    ANSWER_CROSSED = 'answer_crossed'
    ANSWER_CUT = 'answer_cut'
    ANSWER_TOO_LARGE = 'answer_too_large'
    EVENT_CROSSED = 'event_crossed'
    EVENT_OUT_OF_ORDER = 'event_out_of_order'
    RETRY_BUDGET_SPENT = 'retry_budget_spent'
    # Streams.
    UNKNOWN_STREAM = 'unknown_stream'
    STREAM_GAP = 'stream_gap'
    STREAM_TAKEN_OVER = 'stream_taken_over'
    STREAM_EXPIRED = 'stream_expired'
    CALLER_GONE = 'caller_gone'
    INTERNAL = 'internal'


class ReasonInfo(typing.NamedTuple):
    """The HTTP status, default outcome and title of a reason.

    The attempts of a request may change the outcome that is reported.
    """

    status: int
    outcome: Outcome
    title: str


def _info(status: int, outcome: Outcome, title: str) -> ReasonInfo:
    return ReasonInfo(status, outcome, title)


_NOT_RUN = Outcome.NOT_RUN
_FAILED = Outcome.FAILED
_UNKNOWN = Outcome.UNKNOWN

REASONS: typing.Final[dict[Reason, ReasonInfo]] = {
    Reason.BAD_REQUEST_LINE: _info(400, _NOT_RUN, 'Malformed HTTP request'),
    Reason.UNKNOWN_PATH: _info(404, _NOT_RUN, 'No such path'),
    Reason.METHOD_NOT_ALLOWED: _info(405, _NOT_RUN, 'Method not allowed'),
    Reason.UNSUPPORTED_MEDIA_TYPE: _info(
        415, _NOT_RUN, 'The body is not JSON by its content type'
    ),
    Reason.HEADERS_TOO_LARGE: _info(431, _NOT_RUN, 'Headers too large'),
    Reason.BODY_TOO_LARGE: _info(413, _NOT_RUN, 'Body too large'),
    Reason.BODY_TIMEOUT: _info(408, _NOT_RUN, 'Body came too slowly'),
    Reason.BODY_CUT: _info(400, _NOT_RUN, 'Body ended early'),
    Reason.BAD_UTF8: _info(400, _NOT_RUN, 'Body is not UTF-8'),
    Reason.BAD_JSON: _info(400, _NOT_RUN, 'Body is not valid JSON'),
    Reason.JSON_TOO_DEEP: _info(400, _NOT_RUN, 'JSON nested too deeply'),
    Reason.BAD_FIELD: _info(400, _NOT_RUN, 'A field is missing or wrong'),
    Reason.BAD_HEADER: _info(400, _NOT_RUN, 'A header has a bad value'),
    Reason.BAD_IDEMPOTENCY_KEY: _info(
        400, _NOT_RUN, 'Idempotency-Key is not a UUID of version 7'
    ),
    Reason.NO_API_KEY: _info(401, _NOT_RUN, 'No API key given'),
    Reason.UNKNOWN_API_KEY: _info(401, _NOT_RUN, 'Unknown API key'),
    Reason.UNKNOWN_CALLER: _info(
        403, _NOT_RUN, 'The caller is no longer declared'
    ),
    Reason.TARGET_NOT_ALLOWED: _info(
        403, _NOT_RUN, 'Not allowed for this caller'
    ),
    Reason.UNKNOWN_MODEL: _info(404, _NOT_RUN, 'Unknown model'),
    Reason.UNKNOWN_SERVICE: _info(404, _NOT_RUN, 'Unknown service'),
    Reason.CALLER_RATE: _info(429, _NOT_RUN, 'Request rate over the limit'),
    Reason.CALLER_IN_FLIGHT: _info(
        429, _NOT_RUN, 'Too many requests in flight'
    ),
    Reason.QUEUE_FULL: _info(503, _NOT_RUN, 'Queue full'),
    Reason.DEADLINE_UNMEETABLE: _info(
        503, _NOT_RUN, 'The deadline cannot be met'
    ),
    Reason.DEADLINE_PASSED: _info(504, _NOT_RUN, 'The deadline has passed'),
    Reason.OVERLOADED: _info(503, _NOT_RUN, 'Too much load'),
    Reason.NO_READY_REPLICA: _info(
        503, _NOT_RUN, 'No replica can take it now'
    ),
    Reason.DRAINING: _info(503, _NOT_RUN, 'The instance is draining'),
    Reason.INSTANCE_STOPPING: _info(
        503, _UNKNOWN, 'The instance stopped before the answer was whole'
    ),
    Reason.NOT_READY: _info(
        503, _NOT_RUN, 'The instance has no configuration yet'
    ),
    Reason.KEY_CONFLICT: _info(
        422, _NOT_RUN, 'The key was used for another request'
    ),
    Reason.KEY_RUNNING: _info(
        409, _UNKNOWN, 'The first request under the key is running'
    ),
    Reason.KEY_OUTCOME_UNKNOWN: _info(
        409, _UNKNOWN, 'Whether the first request under the key ran is unknown'
    ),
    Reason.KEY_ANSWER_NOT_KEPT: _info(
        410, _UNKNOWN, 'The request ran; its answer is no longer kept'
    ),
    Reason.KEY_EXPIRED: _info(410, _UNKNOWN, 'The key is too old'),
    Reason.KEY_MALFORMED: _info(
        400, _NOT_RUN, 'The key cannot be read as a UUID of version 7'
    ),
    Reason.KEY_FROM_FUTURE: _info(
        400, _NOT_RUN, 'The time in the key is in the future'
    ),
    Reason.CLAIM_UNDECIDED: _info(
        503, _UNKNOWN, 'The key could not be claimed in time'
    ),
    Reason.CLAIM_VOID: _info(
        503, _UNKNOWN, 'The claim on the key came too late'
    ),
    Reason.UPSTREAM_UNAVAILABLE: _info(
        503, _NOT_RUN, 'The upstream could not be reached'
    ),
    Reason.UPSTREAM_REFUSED: _info(
        503, _NOT_RUN, 'The upstream refused the request'
    ),
    Reason.UPSTREAM_FAILED: _info(502, _FAILED, 'The upstream failed'),
    Reason.UPSTREAM_BROKEN: _info(
        502, _UNKNOWN, 'The connection to the upstream broke'
    ),
    Reason.ANSWER_CROSSED: _info(
        502, _UNKNOWN, 'The upstream answered another request'
    ),
    Reason.ANSWER_CUT: _info(
        502, _UNKNOWN, 'The answer ended before it was whole'
    ),
    Reason.ANSWER_TOO_LARGE: _info(502, _UNKNOWN, 'The answer is too large'),
    Reason.EVENT_CROSSED: _info(
        502, _UNKNOWN, 'The stream held an event of another request'
    ),
    Reason.EVENT_OUT_OF_ORDER: _info(
        502, _UNKNOWN, 'The stream lost or repeated an event'
    ),
    Reason.RETRY_BUDGET_SPENT: _info(
        503, _FAILED, 'Failed, and too many retries are under way'
    ),
    Reason.UNKNOWN_STREAM: _info(
        404, _UNKNOWN, 'No such stream for this caller'
    ),
    Reason.STREAM_GAP: _info(
        410, _UNKNOWN, 'The events after the last one held are not kept'
    ),
    Reason.STREAM_TAKEN_OVER: _info(
        409, _UNKNOWN, 'Another connection reads the stream now'
    ),
    Reason.STREAM_EXPIRED: _info(
        410, _UNKNOWN, 'Nobody came back to read the stream in time'
    ),
    Reason.CALLER_GONE: _info(499, _UNKNOWN, 'The caller went away'),
    Reason.INTERNAL: _info(500, _UNKNOWN, 'A fault of the instance'),
}


def from_label(label: str, default: Reason) -> Reason:
    """Return the reason with a label, or the default for unknown labels."""
    try:
        return Reason(label)
    except ValueError:
        return default
