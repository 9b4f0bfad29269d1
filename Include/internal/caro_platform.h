/*
 * NAME
 *     caro_platform - names, formats and store calls of the users' platform
 *
 * The sources in platform/ implement this interface and are the only ones
 * that contain the platform's names.  They translate between its formats and
 * the types of the gateway, and make no decisions.
 */
#ifndef CARO_PLATFORM_H
#define CARO_PLATFORM_H

#include "caro_error.h"
#include "internal/caro_http_reader.h"
#include "internal/caro_prompt_parts.h"
#include "internal/caro_revision.h"
#include "internal/caro_routes.h"
#include "internal/caro_targets.h"

/* HTTP headers that the gateway interprets. */
typedef enum {
    CARO_HEADER_REQUEST_ID,      /* Id of the request; differs for each attempt
                                    of the caller. */
    CARO_HEADER_TIME_LEFT,       /* Milliseconds until the deadline. */
    CARO_HEADER_LAST_EVENT_ID,   /* Id of the last event received. */
    CARO_HEADER_SIGNATURE,       /* Signature of a target's response. */
    CARO_HEADER_ACCOUNT,         /* Name of the client account. */
    CARO_HEADER_API_KEY,         /* Key of the caller; never forwarded. */
    CARO_HEADER_EXPECTED_TARGET, /* Id of the only target that may execute
                                    the request. */
    CARO_HEADER_TARGET_LOAD,     /* Running and waiting requests, slots, and
                                    the processing time from some targets. */
    CARO_HEADER_TARGET_LIMIT,    /* Requests a second that the target takes
                                    from all VMs together; absent while it
                                    has no limit. */
    CARO_HEADER_TARGET_BRITTLE,  /* Rejections a second that the target bears;
                                    none if it is not brittle. */
    CARO_HEADER_TARGET_LEAVING,  /* The target leaves: no new requests. */
    CARO_HEADER_NOT_RUN,         /* The target did not execute the request. */
    CARO_HEADER_PRIORITY,        /* 0 (served first) to 9; 5 if absent. */
    CARO_HEADER_TOKEN_COUNTS,    /* Prompt tokens, maximum of output tokens. */
    CARO_HEADER_PROMPT_PARTS,    /* Parts of the prompt, in order. */
    CARO_HEADER_KV_COPY_TO,      /* Target that receives a KV copy. */
    CARO_HEADER_KV_COPY_FROM,    /* KV copy from which the run is resumed. */
    CARO_HEADER_KV_FETCH_FROM,   /* Target to fetch cached KV memory from. */
    CARO_HEADER_KV_PIN_TIME,     /* Milliseconds to keep KV memory pinned. */
    CARO_HEADER_RESERVATION,     /* A slot that was reserved in advance. */
    CARO_HEADER_RETRY_AFTER,     /* Seconds, with a fraction. */
    CARO_HEADER_STORE_TIMELINE,  /* Of the store; see caro_revision.h. */
    CARO_HEADER_COUNT,
    CARO_HEADER_OTHER = CARO_HEADER_COUNT
} CaroHeaderId;

/* Returns the static name of a header; the id must not be OTHER. */
const char *CaroPlatform_HeaderName(CaroHeaderId id);

/* Returns the id of a header name in any case, or CARO_HEADER_OTHER. */
CaroHeaderId CaroPlatform_HeaderId(CaroText name);

/* Load that a target reports in a response header. */
typedef struct {
    int64_t running; /* Requests in execution. */
    int64_t waiting; /* Requests in its queue. */
    int64_t slots;   /* Requests that it can execute at once. */
    /* Its present processing time, 100 being the usual one; 0 for none. */
    int64_t work_percent;
} CaroTargetLoad;

/* Parses CARO_HEADER_TARGET_LOAD, of three figures or four.  A fourth that is
   malformed counts as none.  Returns 0 or CARO_ERR_INPUT. */
int CaroPlatform_ReadLoad(CaroText value, CaroTargetLoad *load);

/* Parses CARO_HEADER_TARGET_LIMIT, a decimal number of at least 0.  Returns 0
   or CARO_ERR_INPUT. */
int CaroPlatform_ReadLimit(CaroText value, double *per_s);

/* Parses CARO_HEADER_TARGET_BRITTLE, a whole number of at least 0.  Returns 0
   or CARO_ERR_INPUT. */
int CaroPlatform_ReadBrittle(CaroText value, int *rejections_max);

/* Parses CARO_HEADER_TARGET_LEAVING.  Returns whether the target leaves. */
bool CaroPlatform_ReadLeaving(CaroText value);

/* Parses CARO_HEADER_STORE_TIMELINE; a response without it (no text) is of the
   first timeline, 0.  Returns 0 or CARO_ERR_INPUT. */
int CaroPlatform_ReadTimeline(CaroText value, int64_t *timeline);

/* Parses CARO_HEADER_RETRY_AFTER, a decimal number of at least 0.  Returns 0
   or CARO_ERR_INPUT. */
int CaroPlatform_ReadRetryAfter(CaroText value, double *seconds);

/* Parses the prompt tokens in CARO_HEADER_TOKEN_COUNTS.  Returns 0 or
   CARO_ERR_INPUT. */
int CaroPlatform_ReadPromptTokens(CaroText value, int64_t *tokens);

/* Parses CARO_HEADER_PROMPT_PARTS into the parts that requests may share.
   Returns 0, or CARO_ERR_INPUT with no parts. */
int CaroPlatform_ReadPromptParts(CaroText value, CaroPromptParts *parts);

/* Parses CARO_HEADER_PROMPT_PARTS into all parts with their tokens, also the
   last one.  Returns 0, or CARO_ERR_INPUT with no parts. */
int CaroPlatform_ReadSizedParts(CaroText value, CaroSizedParts *parts);

/* Formats the value of CARO_HEADER_KV_COPY_FROM: the KV copy of a request
   that the target at the address holds.  The caller frees it; NULL without
   memory. */
char *CaroPlatform_WriteKvCopyName(const char *address,
                                   const char *request_id);

/* Bytes of a key of the store with its terminator. */
enum { CARO_STORE_KEY_SIZE = 201 };

/* Kinds of keys in the store. */
typedef enum {
    CARO_KEY_CONFIG,          /* The operators' routing configuration. */
    CARO_KEY_TARGET,          /* Registration of a target, by its id. */
    CARO_KEY_ROLLOUT_REQUEST, /* Requested rollout, by service. */
    CARO_KEY_ROLLOUT_OUTCOME, /* Outcome of a rollout, by service; written by
                                 the gateway. */
    CARO_KEY_VM,              /* Registration of a gateway VM, by its name. */
    CARO_KEY_QUARANTINE,      /* Parts of prompts in quarantine, by a hash. */
    CARO_KEY_OTHER
} CaroKeyKind;

/* Returns the kind of a key; *rest points to what follows the prefix of the
   kind. */
CaroKeyKind CaroPlatform_KeyKind(const char *key, const char **rest);

/* Formats a key of a kind; an empty "rest" gives the prefix alone. */
void CaroPlatform_WriteKey(char *out, size_t size, CaroKeyKind kind,
                           const char *rest);

/*
 * Parses the operators' routing configuration.  Texts and lists may have any
 * length.  A route or an account that cannot be read in part is marked as
 * unusable and does not affect the others.  Returns 0 and a new object that
 * the caller destroys; CARO_ERR_INPUT for a document in which routes or API
 * keys cannot be told apart, or CARO_ERR_NOMEM, with *err filled.
 */
int CaroPlatform_ReadConfig(const char *bytes, size_t size,
                            CaroRoutes **routes, CaroError *err);

/* Likewise after a previous configuration, NULL for none: of the routes, only
   those whose text has changed are parsed. */
int CaroPlatform_ReadConfigAfter(const char *bytes, size_t size,
                                 const CaroRoutes *previous,
                                 CaroRoutes **routes, CaroError *err);

/* Parses the registration of a target.  Numbers are cut to their range.
   Returns 0, or CARO_ERR_INPUT with the reason in *err. */
int CaroPlatform_ReadTarget(const char *id, const char *bytes, size_t size,
                            CaroTargetEntry *entry, CaroError *err);

/* Parses the registration of a gateway VM into its address for messages
   between VMs.  Returns 0 or CARO_ERR_INPUT. */
int CaroPlatform_ReadVm(const char *bytes, size_t size,
                        char peer[CARO_ADDRESS_SIZE]);

/* Formats the registration of a VM.  The caller frees it; NULL without
   memory. */
char *CaroPlatform_WriteVm(const char *peer);

/* A quarantine as the store keeps it. */
typedef struct {
    CaroPromptParts parts;
    int64_t until_ms; /* Wall-clock time of its end. */
    bool has_probes;  /* Versions that do not probe leave out the rest. */
    int probes;
    uint32_t events;
} CaroStoredQuarantine;

/* Parses a quarantine.  Returns 0 or CARO_ERR_INPUT. */
int CaroPlatform_ReadQuarantine(const char *bytes, size_t size,
                                CaroStoredQuarantine *q);

/* Formats it.  The caller frees the text; NULL without memory. */
char *CaroPlatform_WriteQuarantine(const CaroStoredQuarantine *q);

/* A request of the operators to roll out a version of a service.  Names are
   as of caro_name.h. */
typedef struct {
    char service[CARO_NAME_SIZE];
    char version[CARO_NAME_SIZE]; /* The new version. */
    char *version_text;           /* Its name as the operators wrote it. */
    CaroTime duration;            /* Planned time until its share is 1. */
} CaroRolloutRequest;

/* Outcome of a rollout as written to the store; RUNNING until it ends. */
typedef enum {
    CARO_ROLLOUT_OUTCOME_RUNNING,
    CARO_ROLLOUT_OUTCOME_DONE,
    CARO_ROLLOUT_OUTCOME_ROLLED_BACK
} CaroRolloutOutcome;

/* Parses a rollout request, to be released with CaroRolloutRequest_Clear.
   Returns 0, CARO_ERR_INPUT with *err filled, or CARO_ERR_NOMEM; on failure
   nothing is to be released. */
int CaroPlatform_ReadRolloutRequest(const char *bytes, size_t size,
                                    CaroRolloutRequest *request,
                                    CaroError *err);
void CaroRolloutRequest_Clear(CaroRolloutRequest *request);

/* Parses the outcome of a rollout and the version that was rolled out.
   Returns 0 or CARO_ERR_INPUT. */
int CaroPlatform_ReadRolloutOutcome(const char *bytes, size_t size,
                                    char version[CARO_NAME_SIZE],
                                    CaroRolloutOutcome *outcome);

/* Formats the outcome of a rollout.  The caller frees it; NULL without
   memory. */
char *CaroPlatform_WriteRolloutOutcome(CaroRolloutOutcome outcome,
                                       const char *version);

/* An HTTP request to the store. */
typedef struct {
    const char *method; /* Static. */
    char *target;       /* Path and query; owned. */
    char *body;         /* Owned; NULL for none. */
} CaroStoreCall;

/* Frees the texts of a call. */
void CaroStoreCall_Clear(CaroStoreCall *call);

/* The CaroPlatform_Call functions fill *call, to be released with
   CaroStoreCall_Clear.  They return 0 or CARO_ERR_NOMEM. */

/* Reads one key. */
int CaroPlatform_CallGet(CaroStoreCall *call, const char *key);

/* Lists the items whose keys have the prefix and sort after the key "after";
   an empty "after" starts at the first. */
int CaroPlatform_CallRange(CaroStoreCall *call, const char *prefix,
                           const char *after);

/* Reads the revision of the whole store, and no key. */
int CaroPlatform_CallRevision(CaroStoreCall *call);

/* Lists the changes after a revision of the store's present timeline; the
   store delays its response until there is one, for at most "wait". */
int CaroPlatform_CallWatch(CaroStoreCall *call, const char *prefix,
                           CaroRevision revision, CaroTime wait);

/* Writes a key if its revision equals "expected", of the store's present
   timeline, or unconditionally if that is negative.  A key with a lease (0:
   none) is deleted when it expires. */
int CaroPlatform_CallPut(CaroStoreCall *call, const char *key,
                         const char *value, CaroRevision expected,
                         int64_t lease);

/* Creates a lease. */
int CaroPlatform_CallLease(CaroStoreCall *call, CaroTime ttl);

/* Renews a lease. */
int CaroPlatform_CallKeepAlive(CaroStoreCall *call, int64_t lease);

/* One key of the store, or a change of it. */
typedef struct {
    char *key;
    char *value; /* Terminated; NULL when the key was deleted. */
    size_t size; /* Bytes of the value. */
    CaroRevision revision;
    bool is_omitted; /* A reader did not pass on the value. */
} CaroStoreItem;

/* A response of the store.  Members that the call does not return are 0. */
typedef struct {
    CaroStoreItem *items;
    int n_items;
    int n_unreadable; /* Items without a key that can be read, left out. */
    bool has_list;    /* A list of items, which may be empty, was in it. */
    bool has_more;    /* The list continues after the last item. */
    bool has_store_revision; /* "revision" is that of the whole store. */
    int64_t timeline;        /* Of the store; set by the store client for each
                                status. */
    CaroRevision revision;   /* Revision of the whole store; after a write, the
                                revision of the write. */
    int64_t lease;           /* Id of the lease; 0 for none. */
} CaroStoreResponse;

/* Parses a response, to be released with CaroStoreResponse_Clear.  Odd items
   do not affect the others: a value that cannot be read is empty, an item
   without a key is left out.  Returns 0, CARO_ERR_INPUT or CARO_ERR_NOMEM,
   with nothing to release. "timeline" is that of the response's head; a
   revision out of range is CARO_ERR_INPUT, or an item that cannot be read. */
int CaroPlatform_ReadStoreResponse(const char *bytes, size_t size,
                                   int64_t timeline,
                                   CaroStoreResponse *response);
void CaroStoreResponse_Clear(CaroStoreResponse *response);

/* Formats the response of the directory: the addresses that a caller may use
   and how long it may keep them.  The caller frees it; NULL without memory. */
char *CaroPlatform_WriteAddresses(const char *const *addresses, int n,
                                  double ttl_s);

/* Static paths and query parameters of the gateway's HTTP interfaces. */
const char *CaroPlatform_ReadyPath(void);
const char *CaroPlatform_AddressesPath(void);
const char *CaroPlatform_DomainParameter(void);

/* Returns whether a term of the platform, as in its settings, says that
   requests compete for little room. */
bool CaroPlatform_IsAdaptiveTerm(const char *term);

#endif
