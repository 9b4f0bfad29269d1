/*
 * NAME
 *     caro_counters - event counters of a process
 *
 * X(ID, NAME) defines the counter CARO_COUNT_ID, which is exported as a line
 * "NAME value"; docs/operators.md describes the counters.
 */
#ifndef CARO_COUNTERS_H
#define CARO_COUNTERS_H

#include "internal/caro_types.h"

#define CARO_COUNTER_LIST(X)                                                  \
    X(REQUESTS, "requests")                                                   \
    X(REFUSED, "refused_not_run")                                             \
    X(GENERATIONS, "generations_started")                                     \
    X(GENERATIONS_DONE, "generations_done")                                   \
    X(GENERATIONS_FAILED, "generations_failed")                               \
    X(TOKENS, "tokens_delivered")                                             \
    X(TOKENS_DROPPED, "tokens_dropped")                                       \
    X(RESUMES, "resumes")                                                     \
    X(STANDBYS, "standby_attempts")                                           \
    X(TAKEOVERS, "takeovers")                                                 \
    X(UNPROTECTED, "tokens_unprotected")                                      \
    X(RECONNECTS, "reconnects")                                               \
    X(CALLERS_SLOW, "callers_too_slow")                                       \
    X(JOURNAL_BATCHES, "journal_batches")                                     \
    X(JOURNAL_BYTES, "journal_bytes_sent")                                    \
    X(BACKUPS_REPLACED, "backups_replaced")                                   \
    X(ORDERS, "orders")                                                       \
    X(ORDERS_DONE, "orders_done")                                             \
    X(ORDERS_NOT_RUN, "orders_not_run")                                       \
    X(ORDERS_UNKNOWN, "orders_unknown")                                       \
    X(ORDERS_FORWARDED, "orders_forwarded")                                   \
    X(LOOKUPS, "lookups")                                                     \
    X(LOOKUP_RETRIES, "lookup_retries")                                       \
    X(HEARTBEATS, "heartbeats_sent")                                          \
    X(CONTROL_BYTES, "control_bytes")                                         \
    X(STORE_CALLS, "store_calls")                                             \
    X(STORE_FAILURES, "store_failures")                                       \
    X(CONFIG_APPLIED, "config_applied")                                       \
    X(CONFIG_REJECTED, "config_rejected")                                     \
    X(LOAD_POLLS, "load_polls")                                               \
    X(PAUSES, "pauses_of_this_process")                                       \
    X(RELAYS, "relays")                                                       \
    X(RELAYS_DONE, "relays_done")                                             \
    X(RELAYS_FAILED, "relays_failed")                                         \
    X(RELAYS_CUT, "relays_cut")                                               \
    X(RELAY_RETRIES, "relay_repeats")                                         \
    X(CALLERS_DISCONNECTED, "callers_left")                                   \
    X(UNAUTHORIZED, "refused_unauthorized")                                   \
    X(NO_ROUTE, "refused_no_route")                                           \
    X(MALFORMED, "refused_malformed")                                         \
    X(CONFIG_CONFIRMED_BY_PEERS, "proofs_of_peers")                           \
    X(CONNECTIONS_CUT, "connections_cut")                                     \
    X(CONNECTIONS_SHED, "connections_shed")                                   \
    X(CALLER_BYTES, "caller_bytes_held")                                      \
    X(PROMPT_CRASHES, "prompt_crashes")                                       \
    X(PROMPT_LOSSES, "prompt_losses")                                         \
    X(PROMPT_LOSSES_HEARD, "prompt_losses_heard")                             \
    X(PROMPT_LOSSES_DOMAIN, "prompt_losses_domain")                           \
    X(PROMPT_LOSSES_DROPPED, "prompt_losses_dropped")                         \
    X(PROMPTS_HELD, "prompts_held")                                           \
    X(QUARANTINES, "prompt_quarantines")                                      \
    X(QUARANTINE_PROBES, "quarantine_probes")                                 \
    X(QUARANTINED, "refused_quarantined")                                     \
    X(LIMITED, "refused_limited")                                             \
    X(TARGETS_LEAVING, "upstreams_announced_leaving")                         \
    X(TARGETS_UNAVAILABLE, "upstreams_wanted_no_requests")                    \
    X(TARGETS_LEFT_OUT, "upstreams_without_place")                            \
    X(STORE_READER, "store_reader")                                           \
    X(STORE_CHANGES_RECEIVED, "store_changes_from_readers")                   \
    X(STORE_READER_FAILURES, "store_reader_failures")                         \
    X(STORE_GAPS, "store_lists_after_gaps")                                   \
    X(STORE_TIMELINE, "store_timeline")                                       \
    X(STORE_RESTORATIONS, "store_restorations")                               \
    X(CONFIG_SUPERSEDED, "config_superseded")                                 \
    X(CONFIG_LACKING_MS, "config_lacking_ms")                                 \
    X(CONFIG_FETCH_FAILURES, "config_fetch_failures")                         \
    X(SILENT_MOVED, "silent_streams_moved")                                   \
    X(PREEMPTED_MOVED, "preempted_streams_moved")                             \
    X(SILENCES_ENDED, "silences_waited_out")                                  \
    X(RETRIES_LENT, "retries_lent")                                           \
    X(RETRIES_BORROWED, "retries_borrowed")                                   \
    X(RETRY_LOANS_REFUSED, "retry_loans_refused")                             \
    X(RETRIES_EXPIRED, "retries_expired")                                     \
    X(PREDICTED, "placements_predicted")                                      \
    X(PREDICTED_OVER_MEMORY, "placements_over_memory")                        \
    X(PACE_SAMPLES, "pace_samples")                                           \
    X(PEER_PACE_SAMPLES, "pace_samples_of_peers")                             \
    X(MEMORY_LIMITS, "memory_limits_learned")                                 \
    X(ROOM_SHORTAGES, "service_shortages")                                    \
    X(ROOM_REFUSED, "refused_no_room")                                        \
    X(ROOM_HELD, "held_for_room")                                             \
    X(ROOM_REJECTED, "rejected_by_servers")                                   \
    X(ROOM_REPORTS, "room_reports_sent")                                      \
    X(RETAINED_PARTS, "retained_parts")                                       \
    X(PEER_RETAINED_PARTS, "retained_parts_of_peers")                         \
    X(PLACED_BY_RETENTION, "placements_by_retention")                         \
    X(RETAINED_TOKENS, "retained_tokens_expected")                            \
    X(LINKS_STATE, "upstream_links_state")                                    \
    X(LINKS_CHANGES, "upstream_links_changes")                                \
    X(LINK_PROBES, "upstream_link_probes")                                    \
    X(TUNNELS_OPENED, "tunnels_opened")                                       \
    X(TUNNELS_TAKEN, "tunnels_taken")                                         \
    X(STORE_NOTICES, "store_notices")                                         \
    X(TUNNELS_LEFT, "tunnels_left")                                           \
    X(TUNNELS_REFUSED, "tunnels_refused")                                     \
    X(GATES_FAILED, "gates_failed")                                           \
    X(PERMITS_GRANTED, "permits_granted")                                     \
    X(PERMITS_DENIED, "permits_denied")                                       \
    X(PERMIT_KEEPERS_LOST, "permit_keepers_lost")

typedef enum {
#define X(id, name) CARO_COUNT_##id,
    CARO_COUNTER_LIST(X)
#undef X
        CARO_COUNTERS
} CaroCounter;

typedef struct {
    uint64_t values[CARO_COUNTERS];
} CaroCounters;

/* Adds n to a counter. */
void CaroCounters_Add(CaroCounters *c, CaroCounter id, uint64_t n);

/* Returns the static name of a counter. */
const char *CaroCounters_Name(CaroCounter id);

#endif
