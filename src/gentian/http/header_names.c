#include "header_names.h"

const GsHeaderNames gs_header_names_default = { .caller_timeout = "Gentian-Timeout-Ms",
                                                .deadline = "Gentian-Deadline-Ms",
                                                .attempt = "Gentian-Attempt",
                                                .leaving = "Gentian-Leaving",
                                                .retry_after = "Retry-After",
                                                .verdicts = true };
