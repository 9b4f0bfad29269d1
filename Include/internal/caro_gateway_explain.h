/*
 * NAME
 *     caro_gateway_explain - where a request would go now, and why
 *
 * Runs the functions that decide about a request (caro_request_check.h,
 * caro_service_rollouts.h, caro_request_limits.h, caro_placement.h) in the
 * order in which a relay calls them, without sending or counting a request.
 * Random terms come from a copy of the generator, so that the result is the
 * next decision as long as nothing else happens before it.
 */
#ifndef CARO_GATEWAY_EXPLAIN_H
#define CARO_GATEWAY_EXPLAIN_H

#include "internal/caro_placement.h"
#include "internal/caro_prompt_guard.h"
#include "internal/caro_request_check.h"
#include "internal/caro_request_limits.h"
#include "internal/caro_service_rollouts.h"

#include <jansson.h>

/* Objects of the VM, borrowed.  They are left as they are. */
typedef struct {
    const char *vm;
    const char *domain;
    const CaroTargets *targets;
    const CaroServiceRollouts *rollouts;
    const CaroRequestLimits *limits;
    const CaroPromptGuard *guard;
    CaroEnginePace *pace; /* Its cached medians are restored. */
    const gsl_rng *rng;
    CaroTime config_age; /* Since the confirmation of the configuration; -1 for
                            none. */
} CaroExplainState;

/* A request that is not sent.  Texts are borrowed. */
typedef struct {
    const char *host;
    const char *path;
    const char *key;     /* NULL for none. */
    const char *account; /* Explain for a caller of it; NULL: by the key. */
    const char *parts;   /* As in the prompt's header; NULL for none. */
    int64_t tokens;      /* Of the prompt. */
} CaroExplainRequest;

/*
 * Returns the explanation as JSON, owned by the caller; NULL without memory.
 * "check" has the state of the VM; its host, path and key are replaced.
 * Member "status" is the HTTP status of a refusal, else 0.
 */
json_t *CaroGatewayExplain_Run(const CaroExplainState *s,
                               const CaroRequestCheckQuery *check,
                               const CaroExplainRequest *request,
                               CaroTime now);

enum { CARO_EXPLAIN_LINE_MAX = 40 };

/* Writes an explanation as text in lines of at most CARO_EXPLAIN_LINE_MAX
   bytes.  Returns NULL without memory; the caller frees it. */
char *CaroGatewayExplain_WriteText(const json_t *explanation);

#endif
