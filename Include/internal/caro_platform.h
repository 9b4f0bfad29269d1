/*
 * NAME
 *     caro_platform - names, formats and calls of the users' platform
 *
 * The folder platform/ implements this and nothing else knows the
 * platform's names.  It translates and decides nothing.
 */
#ifndef CARO_PLATFORM_H
#define CARO_PLATFORM_H

#include "caro_error.h"
#include "internal/caro_http_reader.h"
#include "internal/caro_routes.h"
#include "internal/caro_targets.h"

/* Headers with a meaning to the gateway. */
typedef enum {
    CARO_HEADER_REQUEST_ID,      /* Of one attempt of a caller. */
    CARO_HEADER_TIME_LEFT,       /* Milliseconds until the deadline. */
    CARO_HEADER_LAST_EVENT_ID,   /* Id of the last event that arrived. */
    CARO_HEADER_SIGNATURE,       /* The upstream's, of its answer. */
    CARO_HEADER_ACCOUNT,         /* Name of the caller's account. */
    CARO_HEADER_API_KEY,         /* The caller's; never passed on. */
    CARO_HEADER_EXPECTED_TARGET, /* Id of the upstream that may run it. */
    CARO_HEADER_TARGET_LOAD,     /* Running, waiting, slots. */
    CARO_HEADER_NOT_RUN,         /* The upstream did not run it. */
    CARO_HEADER_PRIORITY,        /* 0 first to 9 last, 5 if absent. */
    CARO_HEADER_TOKEN_COUNTS,    /* Prompt tokens, most output tokens. */
    CARO_HEADER_KV_COPY_TO,      /* Upstream that gets a copy of memory. */
    CARO_HEADER_KV_COPY_FROM,    /* Copy that the run continues from. */
    CARO_HEADER_KV_FETCH_FROM,   /* Upstream to fetch cached parts from. */
    CARO_HEADER_KV_PIN_TIME,     /* Milliseconds to keep memory pinned. */
    CARO_HEADER_RESERVATION,     /* A slot reserved beforehand. */
    CARO_HEADER_RETRY_AFTER,     /* Seconds, with fractions. */
    CARO_HEADER_COUNT,
    CARO_HEADER_OTHER = CARO_HEADER_COUNT
} CaroHeaderId;

const char *CaroPlatform_HeaderName(CaroHeaderId id);
CaroHeaderId CaroPlatform_HeaderId(CaroText name);

/* Load of an upstream as it tells it beside an answer. */
typedef struct {
    int64_t running;
    int64_t waiting;
    int64_t slots;
} CaroTargetLoad;

int CaroPlatform_ReadLoad(CaroText value, CaroTargetLoad *load);

/* Prompt tokens of a generation; CARO_ERR_INPUT when malformed. */
int CaroPlatform_ReadPromptTokens(CaroText value, int64_t *tokens);

/* Names the copy of a run at an upstream, for CARO_HEADER_KV_COPY_FROM. */
void CaroPlatform_WriteKvCopyName(char *out, size_t size, const char *address,
                                  const char *request_id);

/* Keys of the store with a meaning to the gateway. */
typedef enum {
    CARO_KEY_CONFIG,          /* The operator's configuration. */
    CARO_KEY_TARGET,          /* An upstream's entry, under its id. */
    CARO_KEY_ROLLOUT_REQUEST, /* A wanted move of a service's traffic. */
    CARO_KEY_ROLLOUT_OUTCOME, /* What became of it; ours to write. */
    CARO_KEY_VM,              /* A VM of the gateway, under its name. */
    CARO_KEY_OTHER
} CaroKeyKind;

/* Kind of a key; *rest is what follows the kind's prefix. */
CaroKeyKind CaroPlatform_KeyKind(const char *key, const char **rest);
/* Writes the key of a kind; "rest" may be empty for its prefix. */
void CaroPlatform_WriteKey(char *out, size_t size, CaroKeyKind kind,
                           const char *rest);

/* Reads the operator's configuration into a new value. */
int CaroPlatform_ReadConfig(const char *bytes, size_t size,
                            CaroRoutes **routes, CaroError *err);

/* Reads an upstream's entry; CARO_ERR_INPUT when it names none. */
int CaroPlatform_ReadTarget(const char *id, const char *bytes, size_t size,
                            CaroTargetEntry *entry, CaroError *err);

/* A VM of the gateway, as it registers itself. */
int CaroPlatform_ReadVm(const char *bytes, size_t size,
                        char peer[CARO_ADDRESS_SIZE]);
char *CaroPlatform_WriteVm(const char *peer);

/* An order to move a service's traffic to a version. */
typedef struct {
    char service[CARO_NAME_SIZE];
    char version[CARO_NAME_SIZE];
    CaroTime duration;
} CaroRolloutRequest;

typedef enum {
    CARO_ROLLOUT_OUTCOME_RUNNING,
    CARO_ROLLOUT_OUTCOME_DONE,
    CARO_ROLLOUT_OUTCOME_ROLLED_BACK
} CaroRolloutOutcome;

int CaroPlatform_ReadRolloutRequest(const char *bytes, size_t size,
                                    CaroRolloutRequest *order, CaroError *err);
int CaroPlatform_ReadRolloutOutcome(const char *bytes, size_t size,
                                    char version[CARO_NAME_SIZE],
                                    CaroRolloutOutcome *state);
char *CaroPlatform_WriteRolloutOutcome(CaroRolloutOutcome state,
                                       const char *version);

/* One call of the store; the texts are the caller's to free. */
typedef struct {
    const char *method;
    char *target;
    char *body; /* NULL for none. */
} CaroStoreCall;

void CaroStoreCall_Clear(CaroStoreCall *call);
int CaroPlatform_CallGet(CaroStoreCall *call, const char *key);
/* Items whose keys begin with the prefix, behind the key "after". */
int CaroPlatform_CallRange(CaroStoreCall *call, const char *prefix,
                           const char *after);
/* Changes behind a revision; the answer waits for one. */
int CaroPlatform_CallWatch(CaroStoreCall *call, const char *prefix,
                           int64_t revision, CaroTime wait);
/* Writes a key if its revision is "expected" (negative: in any case). */
int CaroPlatform_CallPut(CaroStoreCall *call, const char *key,
                         const char *value, int64_t expected, int64_t lease);
int CaroPlatform_CallLease(CaroStoreCall *call, CaroTime ttl);
int CaroPlatform_CallKeepAlive(CaroStoreCall *call, int64_t lease);

typedef struct {
    char *key;
    char *value; /* Terminated; NULL when the key was deleted. */
    size_t size;
    int64_t revision;
} CaroStoreItem;

/* An answer of the store, whichever of its members the call has. */
typedef struct {
    CaroStoreItem *items;
    int n_items;
    bool has_more;
    int64_t at; /* Revision of the whole store. */
    int64_t lease;
} CaroStoreResponse;

int CaroPlatform_ReadStoreResponse(const char *bytes, size_t size,
                                   CaroStoreResponse *answer);
void CaroStoreResponse_Clear(CaroStoreResponse *answer);

/* Body of the answer to "which address"; the caller frees it. */
char *CaroPlatform_WriteAddresses(const char *const *addresses, int n,
                                  double ttl_s);
/* Paths and query names of the gateway's own interfaces. */
const char *CaroPlatform_ReadyPath(void);
const char *CaroPlatform_AddressesPath(void);
const char *CaroPlatform_DomainParameter(void);

#endif
