/*
 * NAME
 *     caro_generation - decides how one generation reaches its end
 *
 * A generation is served by attempts at upstreams.  At most two are live:
 * the first, and a standby that was started because the first fell
 * silent.  The caller of this type reports what happened and then asks
 * CaroGeneration_Decide for the next action until it answers NONE.
 *
 * Two times are used.  "now" is the clock.  "awake" is a clock that does
 * not run while this process itself was stopped; silence of an upstream
 * is judged on it, so that a paused VM does not blame its upstreams.
 */
#ifndef CARO_GENERATION_H
#define CARO_GENERATION_H

#include "internal/caro_router.h"

typedef struct CaroGeneration CaroGeneration;

typedef struct {
    CaroTime silence_floor;       /* Shortest gap that counts as silence. */
    CaroTime silence_ceiling;     /* Gap after which an attempt is lost. */
    CaroTime first_token_ceiling; /* Longest wait for a first token. */
    int attempts_max;             /* Attempts before the caller is told. */
} CaroGenerationLimits;

typedef enum {
    CARO_ACT_NONE,
    CARO_ACT_START,  /* Choose an upstream; call Started or Deferred. */
    CARO_ACT_CANCEL, /* Cancel the attempt's stream; call Cancelled. */
    CARO_ACT_END,    /* All tokens are in the journal. */
    CARO_ACT_FAIL    /* No attempt can go on; tell the caller. */
} CaroActionKind;

typedef struct {
    CaroActionKind kind;
    union {
        struct {
            uint32_t attempt;  /* Number of the attempt to start. */
            CaroHandle silent; /* Upstream that fell silent, or none. */
            bool is_standby;   /* Beside a silent attempt. */
            bool is_resume;    /* Some attempt was made before. */
        } start;
        struct {
            uint32_t attempt;
            CaroHandle upstream;
            bool is_lost; /* The upstream failed, not merely outrun. */
        } cancel;
        struct {
            int code; /* CARO_ERR_TIMEOUT or CARO_ERR_NOT_FOUND. */
        } fail;
    } u;
} CaroAction;

/* Measurements of one generation, for reports. */
typedef struct {
    uint32_t attempts;
} CaroGenerationStats;

/*
 * Creates a generation that has "count" tokens already and ends at
 * tokens_max.  Returns NULL when memory is short.
 */
CaroGeneration *CaroGeneration_Create(const CaroGenerationLimits *limits,
                                      uint32_t count, uint32_t tokens_max,
                                      CaroTime deadline, CaroTime now);
void CaroGeneration_Destroy(CaroGeneration *g);

/* The attempt that Decide asked for runs at this upstream. */
void CaroGeneration_OnStarted(CaroGeneration *g, uint32_t attempt,
                              CaroHandle upstream, CaroTime silence_after,
                              CaroTime first_after, CaroTime now,
                              CaroTime awake);

/* No upstream was free; ask again at retry_at. */
void CaroGeneration_OnDeferred(CaroGeneration *g, CaroTime retry_at);

/*
 * A token of an attempt.  Returns true when it is the next token of the
 * generation, so that the caller must append it to the journal; false
 * when it is late, crossed or of an attempt that was outrun.
 */
bool CaroGeneration_OnToken(CaroGeneration *g, uint32_t attempt,
                            uint32_t index, CaroTime now, CaroTime awake);

/* The attempt's stream ended; "is_whole" when the engine said so. */
void CaroGeneration_OnClosed(CaroGeneration *g, uint32_t attempt,
                             bool is_whole, CaroTime now);

/*
 * Other streams of the attempt's upstream fell silent: an attempt that
 * waits for its first token counts as silent too.
 */
void CaroGeneration_Suspect(CaroGeneration *g, uint32_t attempt);

/* The cancellation that Decide asked for was carried out. */
void CaroGeneration_OnCancelled(CaroGeneration *g, uint32_t attempt);

/*
 * Next action.  has_standby_budget says whether a duplicate attempt is
 * affordable now.
 */
CaroAction CaroGeneration_Decide(CaroGeneration *g, bool has_standby_budget,
                                 CaroTime now, CaroTime awake);

/* Upstreams that failed this generation, newest last. */
int CaroGeneration_GetAvoided(const CaroGeneration *g,
                              CaroHandle avoid[CARO_AVOID_MAX]);

/* The newest loss was a silence, which may be that of a whole domain. */
bool CaroGeneration_IsLastLossSilence(const CaroGeneration *g);

/* The upstream of an attempt, or CARO_NO_HANDLE. */
CaroHandle CaroGeneration_GetUpstream(const CaroGeneration *g,
                                      uint32_t attempt);

/* Gap before the attempt's last token, or -1 before its second token. */
CaroTime CaroGeneration_LastGap(const CaroGeneration *g, uint32_t attempt);

const CaroGenerationStats *CaroGeneration_Stats(const CaroGeneration *g);

#endif
