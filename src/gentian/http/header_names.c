#include "header_names.h"

const GsHeaderNames gs_header_names_default = { .lookup_path = "/v1/entries",
                                                .ticket = "Gentian-Ticket",
                                                .idempotency_key = "Idempotency-Key",
                                                .key = "Gentian-Key",
                                                .workspace = "Gentian-Workspace",
                                                .key_digest = "Gentian-Key-Digest",
                                                .hop = "Gentian-Hop",
                                                .passed_key = "Gentian-Passed-Key",
                                                .caller_timeout = "Gentian-Timeout-Ms",
                                                .deadline = "Gentian-Deadline-Ms",
                                                .attempt = "Gentian-Attempt",
                                                .leaving = "Gentian-Leaving",
                                                .retry_after = "Retry-After",
                                                .verdicts = true };
