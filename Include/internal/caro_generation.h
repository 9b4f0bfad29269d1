/*
 * NAME
 *     caro_generation - attempts, standbys and resumes of one generation
 *
 * A generation is served by attempts at upstreams.  At most two attempts are
 * live: the first, and a standby that was started because the first became
 * silent.  The owner reports events to this state machine and then calls
 * CaroGeneration_Decide for the next action until it returns NONE.
 *
 * Two clocks are used.  "now" is the monotonic clock.  "awake" is a clock
 * that does not advance while this process is suspended.  The silence of
 * an upstream is measured on the second, so that a suspended VM does not
 * attribute its own pause to its upstreams.
 */
#ifndef CARO_GENERATION_H
#define CARO_GENERATION_H

#include "internal/caro_router.h"

typedef struct CaroGeneration CaroGeneration;

typedef struct {
    CaroTime silence_floor;       /* Shortest gap that counts as silence. */
    CaroTime silence_ceiling;     /* Gap after which an attempt is lost. */
    CaroTime first_token_ceiling; /* Longest wait for a first token. */
    int attempts_max;             /* Limit of attempts, standbys included. */
} CaroGenerationLimits;

typedef enum {
    CARO_ACT_NONE,
    CARO_ACT_START,  /* Choose an upstream; call OnStarted or OnDeferred. */
    CARO_ACT_CANCEL, /* Cancel the attempt's stream; call OnCancelled. */
    CARO_ACT_END,    /* All tokens are in the journal. */
    CARO_ACT_FAIL    /* No attempt is left; report the failure. */
} CaroActionKind;

typedef struct {
    CaroActionKind kind;
    union {
        struct {
            uint32_t attempt;  /* Number of the attempt to start. */
            CaroHandle silent; /* Upstream of the silent attempt, or none. */
            bool is_standby;   /* Another attempt is live but silent. */
            bool is_resume;    /* The generation has had an attempt before. */
        } start;
        struct {
            uint32_t attempt;
            CaroHandle upstream;
            bool is_lost; /* The upstream failed; false if the attempt was
                             only superseded by another. */
        } cancel;
        struct {
            int code; /* CARO_ERR_TIMEOUT or CARO_ERR_NOT_FOUND. */
        } fail;
    } u;
} CaroAction;

/* Counts of one generation, for reports. */
typedef struct {
    uint32_t attempts;
} CaroGenerationStats;

/*
 * Creates a generation that already has "count" tokens and ends at
 * tokens_max.  Returns NULL when out of memory.
 */
CaroGeneration *CaroGeneration_Create(const CaroGenerationLimits *limits,
                                      uint32_t count, uint32_t tokens_max,
                                      CaroTime deadline, CaroTime now);
void CaroGeneration_Destroy(CaroGeneration *g);

/*
 * The attempt that Decide returned was started at the upstream.  It counts
 * as silent after first_token_timeout without a first token, and after
 * silence_timeout without another one.
 */
void CaroGeneration_OnStarted(CaroGeneration *g, uint32_t attempt,
                              CaroHandle upstream, CaroTime silence_timeout,
                              CaroTime first_token_timeout, CaroTime now,
                              CaroTime awake);

/* No upstream was available; Decide starts no attempt before retry_at. */
void CaroGeneration_OnDeferred(CaroGeneration *g, CaroTime retry_at);

/*
 * An attempt received a token.  Returns true when it is the next token of
 * the generation and must be appended to the journal; false when it is a
 * duplicate, out of order or from an attempt that is no longer live.
 */
bool CaroGeneration_OnToken(CaroGeneration *g, uint32_t attempt,
                            uint32_t index, CaroTime now, CaroTime awake);

/* The attempt's stream ended; "is_complete" if the engine completed it. */
void CaroGeneration_OnClosed(CaroGeneration *g, uint32_t attempt,
                             bool is_complete, CaroTime now);

/*
 * Other streams of the attempt's upstream became silent.  The attempt then
 * counts as silent too while it waits for its first token.
 */
void CaroGeneration_Suspect(CaroGeneration *g, uint32_t attempt);

/* The cancellation that Decide returned was carried out. */
void CaroGeneration_OnCancelled(CaroGeneration *g, uint32_t attempt);

/* Tells whether a live attempt has been silent beyond its ceiling. */
bool CaroGeneration_HasSilentBeyondCeiling(const CaroGeneration *g,
                                           CaroTime awake);

/*
 * Sets whether another upstream could take the generation over; initially
 * true.  If not, or without attempts left, silence does not end the only live
 * attempt.
 */
void CaroGeneration_SetReplaceable(CaroGeneration *g, bool is_replaceable);

/*
 * Returns the next action.  "has_standby_budget" tells whether a standby
 * attempt may be started now.
 */
CaroAction CaroGeneration_Decide(CaroGeneration *g, bool has_standby_budget,
                                 CaroTime now, CaroTime awake);

/*
 * Fills the upstreams that failed this generation, the newest last, and then
 * those of its present attempts.  Returns the count.
 */
int CaroGeneration_GetAvoided(const CaroGeneration *g,
                              CaroHandle avoid[CARO_AVOID_MAX]);

/* The last loss was a silence, which may affect a whole failure domain. */
bool CaroGeneration_IsLastLossSilence(const CaroGeneration *g);

/* Returns the upstream of an attempt, or CARO_NO_HANDLE. */
CaroHandle CaroGeneration_GetUpstream(const CaroGeneration *g,
                                      uint32_t attempt);

/* Returns the gap before the attempt's last token; -1 if it has only one. */
CaroTime CaroGeneration_LastGap(const CaroGeneration *g, uint32_t attempt);

const CaroGenerationStats *CaroGeneration_Stats(const CaroGeneration *g);

#endif
