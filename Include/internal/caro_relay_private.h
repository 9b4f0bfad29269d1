/*
 * NAME
 *     caro_relay_private - declarations private to Modules/relay*.c
 */
#ifndef CARO_RELAY_PRIVATE_H
#define CARO_RELAY_PRIVATE_H

#include "internal/caro_attempt.h"
#include "internal/caro_event_forwarder.h"
#include "internal/caro_event_pace.h"
#include "internal/caro_relay.h"

/* Retry-After of requests for which there is no upstream; an engine that
   crashed is back in about a second. */
#define CARO_RELAY_RETRY_AFTER_S 0.3

typedef struct CaroRelay CaroRelay;

enum { ANSWERED_BY_MAX = 8 };

struct CaroRelay {
    CaroRelays *relays;
    CaroRelay *next;
    CaroRelay *prev;
    CaroCall *call;
    CaroRoute route; /* Without its texts and shares, which a new
                        configuration frees. */
    char service[CARO_NAME_SIZE];
    char *account; /* NULL on a public route. */
    char *id;      /* Request id that the caller sent; empty for none. */
    char version[CARO_NAME_SIZE];       /* Storage of query.version. */
    char failed_domain[CARO_NAME_SIZE]; /* Storage of query.failed_domain. */
    int64_t priority;     /* Of the account, or else of the route. */
    CaroTime caller_time; /* That the caller named; 0 for none. */
    CaroTime started_at;
    CaroAttempt attempt;
    CaroPlacementQuery query;
    struct event *timer;

    /* Targets with a kept channel that carried an earlier attempt; their
       number may be higher. */
    CaroHandle answered_by[ANSWERED_BY_MAX];
    int n_answered_by;

    /* The current attempt. */
    CaroHandle target; /* CARO_NO_HANDLE between attempts. */
    CaroChannel *channel;
    CaroTime attempt_started_at;
    CaroTime last_event_at; /* Initially the start of the attempt. */
    CaroTime failed_at;     /* Time of the head of a failure; 0 for none. */
    int put_offs;           /* Times that a timeout was put off since then. */
    bool is_paused; /* Reading is stopped because the caller is slow. */
    CaroTime paused_at;
    /* Until then the upstream may have closed the connection because this VM
       did not read it. */
    CaroTime unread_until;
    bool is_cut_unread;        /* It did so. */
    bool is_skipping_response; /* The response is another request's. */
    int n_foreign_responses;   /* The channel delivered them. */
    size_t foreign_bytes;      /* Bytes of their bodies. */
    bool is_not_run;           /* The response says the request was not run. */
    bool is_event_stream;      /* Events of the response are forwarded. */
    bool is_forwarding;        /* A long plain response is being forwarded. */
    bool is_close_delimited;   /* The response ends with the connection. */
    bool is_canary;      /* Restricted to the new version of a rollout. */
    bool is_over_limit;  /* Only full targets are left. */
    bool is_held;        /* It waits for room, without a target. */
    bool is_out_of_room; /* All servers rejected it, or it was refused
                            for lack of room. */
    bool is_rejected;    /* The current attempt was, for lack of room. */
    size_t held_bytes;   /* Of a held request. */
    uint64_t permit_id;  /* Of the current attempt; 0 for none. */
    bool is_awaiting_permit;
    CaroHandle permit_target;  /* Upstream that it is for. */
    bool is_out_of_permits;    /* It was denied. */
    CaroTime permit_wait;      /* Retry-After of a denial. */
    CaroTime room_wait;        /* Retry-After of a refusal for lack of room. */
    bool is_target_suspected;  /* Another stream found the target silent. */
    bool is_silence_recorded;  /* The target was recorded as silent. */
    CaroTime suspected_at;     /* Time of the last report of that. */
    bool has_prefill_ahead;    /* Other prompts were queued at the target. */
    int tokens_ahead;          /* Their tokens. */
    uint32_t events_at_target; /* CaroEventPace_Count at the last event. */
    int prefill_tokens; /* Pending prefill at the target; 0 after an event. */
    int prompt_tokens;  /* Prompt of the request; 0 for plain requests. */
    CaroPromptParts prompt_parts;
    CaroSizedParts sized_parts; /* With the last part; none for plain
                                   requests. */
    bool is_delayed;     /* It waits, without a target, to begin an attempt. */
    CaroTime not_before; /* Of the next attempt. */
    bool is_probe;       /* The attempt probes a quarantine. */
    bool is_resume;      /* The attempt asks for the rest of a stream. */
    double retained_tokens; /* Expected to be held at the target when it was
                               chosen. */
    bool is_from_kv_copy;   /* The attempt resumes from a KV copy. */
    int held_tokens; /* Of the prompt and the expected response; 0 for plain
                        requests. */
    CaroTime first_event_at; /* Of the attempt; 0 before it. */
    int n_events;            /* Of the attempt. */
    CaroRolloutAttempt rollout_attempt;

    CaroHandle kv_copy_at; /* Target that gets a KV copy of the attempt. */
    CaroHandle resume_at;  /* Target with the KV copy for the next attempt. */
    int status;            /* Status of the upstream's response. */
    struct evbuffer *headers; /* Response headers for the caller. */
    struct evbuffer *body;    /* Buffered part of a plain response. */
    CaroEventForwarder *forwarder;
};

struct CaroRelays {
    CaroRelayDeps deps;
    CaroRelay *first;
    int n_relays;
    CaroEventPace *event_pace;
    int vms;                /* See CaroRelays_SetVms. */
    bool has_unsent_change; /* See CaroRelays_ConsumeChange. */
};

/* relay_state.c: what a request holds, and how it ends. */

bool CaroRelay_IsStream(const CaroRelay *r);
void CaroRelay_AddCount(CaroRelay *r, CaroCounter id);
void CaroRelay_SetTimer(CaroRelay *r, CaroTime at, CaroTime now);

/* Sets the prompt tokens that count as pending prefill at the target. */
void CaroRelay_SetPrefill(CaroRelay *r, int tokens);

/* Ends the attempt's use of its target.  A channel that is still open is
   closed, which makes the upstream stop the request. */
void CaroRelay_ReleaseTarget(CaroRelay *r);
void CaroRelay_ReleaseKvCopy(CaroRelay *r, CaroHandle *kv_copy);

/* Returns the permit of the attempt, or stops waiting for it. */
void CaroRelay_ReturnPermit(CaroRelay *r, CaroTime now);

/* relay_permits.c: requests to brittle upstreams. */

/* Asks for the permit that the next attempt needs; GRANTED when it has one or
   needs none.  When it is QUEUED, CaroRelays_OnPermit goes on. */
CaroPermitOutcome CaroRelay_TakePermit(CaroRelay *r, CaroTime now);

/* Records what the head of a response says of its upstream. */
void CaroRelay_RecordBrittle(const CaroRelay *r, const CaroHttpHead *head,
                             CaroTime now);

/* What admission has to know of the request. */
CaroRoomRequest CaroRelay_RoomRequest(const CaroRelay *r);

/* Ends the hold of a request that ends. */
void CaroRelay_CancelHold(CaroRelay *r);

/* Counts and logs a refusal for lack of room.  Returns after which time the
   caller may come back. */
CaroTime CaroRelay_RefuseForRoom(CaroRelay *r, CaroTime now);

/* Logs how the request ended, one line for each request. */
void CaroRelay_LogEnd(const CaroRelay *r, int status, const char *reason,
                      CaroTime now);

/* These end the request and destroy the relay.  RespondStatus answers with an
   empty body, Finish with the upstream's response; Cut closes the connection
   of a response that has begun.  Destroy leaves the call to the caller. */
void CaroRelay_RespondStatus(CaroRelay *r, int status, const char *reason,
                             CaroTime now);
void CaroRelay_Finish(CaroRelay *r, const char *reason, CaroTime now);
void CaroRelay_Cut(CaroRelay *r, const char *reason, CaroTime now);
void CaroRelay_Destroy(CaroRelay *r);

/* relay_notices.c: what the head of a response says about its upstream. */

/* Records the requests that the upstream runs and keeps waiting. */
void CaroRelay_RecordLoad(CaroRelay *r, const CaroHttpHead *head,
                          CaroTime now);

/* Records a limit of requests.  A response without a limit ends one, unless it
   is a refusal, which need not come from the upstream's application. */
void CaroRelay_RecordLimit(CaroRelay *r, const CaroHttpHead *head,
                           CaroTime now);

/* Records an announcement that the upstream leaves.  Returns whether it is the
   first that this VM reads.  A response with status 421 comes from another
   upstream at the address and announces nothing. */
bool CaroRelay_RecordLeaving(CaroRelay *r, const CaroHttpHead *head,
                             CaroTime now);

/* Records for how long an upstream that refused the request wants no other.
   Returns whether that ends later than what was known. */
bool CaroRelay_RecordUnavailable(CaroRelay *r, const CaroHttpHead *head,
                                 CaroTime now);

/* relay_pace.c: what placement learns from attempts, and its log. */

/* Counts the request's tokens as held at the chosen target. */
void CaroRelay_BeginPace(CaroRelay *r);

/* Records events of a stream: n of them, of which the first may be the first
   of the attempt. */
void CaroRelay_RecordEvents(CaroRelay *r, int n, CaroTime now);

/* Records what a refusal by the target says about its memory. */
void CaroRelay_RecordRejection(CaroRelay *r, const CaroHttpHead *head,
                               CaroTime now);

/* Ends what BeginPace began, with the time between the events. */
void CaroRelay_EndPace(CaroRelay *r, CaroTime now);

/* Logs the prediction with which the target was chosen. */
void CaroRelay_LogPrediction(CaroRelay *r, CaroTime now);

/* Records that a plain request was answered, or rejected for lack of room. */
void CaroRelay_RecordRoom(CaroRelay *r, const CaroHttpHead *head,
                          CaroTime now);

/* relay_room.c: admission to services short of room. */

/* Decides on a request that came in.  Returns whether it is to be sent now; it
   is held or refused otherwise. */
bool CaroRelay_Admit(CaroRelay *r, CaroTime now);

/* Holds a request that all servers rejected, for another attempt.  Returns
   false when it cannot be held. */
bool CaroRelay_HoldRejected(CaroRelay *r, CaroTime now);

/* The hold is over.  Returns as CaroRelay_Admit does. */
bool CaroRelay_EndHold(CaroRelay *r, CaroTime now);

/* relay_attempt.c: attempts at upstreams. */

/* Reads the upstream again after the caller was slow. */
void CaroRelay_EndPause(CaroRelay *r, CaroTime now);

/* Begins the next attempt, or ends the request when there is none. */
void CaroRelay_BeginAttempt(CaroRelay *r, CaroTime now);
void CaroRelay_ScheduleTimer(CaroRelay *r, CaroTime now);
void CaroRelay_OnTimer(evutil_socket_t fd, short what, void *relay);

/* relay_prompts.c: what the request tells of its prompt. */

/* Returns whether the prompt may be sent now; holds the request or bars it
   from attempts accordingly. */
CaroPromptAdmission CaroRelay_AdmitPrompt(CaroRelay *r, CaroTime now);

/* Returns whether the attempt is to be ended for a quarantine: it has no event
   yet, and its end loses nothing. */
bool CaroRelay_IsQuarantined(const CaroRelay *r, CaroTime now);

/* Further events of the attempt arrived; "before" is their number before. */
void CaroRelay_RecordPromptEvents(CaroRelay *r, int before, CaroTime now);

/* The response is complete. */
void CaroRelay_RecordPromptFinish(CaroRelay *r, CaroTime now);

/* The attempt has ended otherwise, or the caller disconnected during it. */
void CaroRelay_RecordPromptEnd(CaroRelay *r, CaroOutcome outcome,
                               CaroTime now);
void CaroRelay_RecordPromptCancelled(CaroRelay *r, CaroTime now);

#endif
