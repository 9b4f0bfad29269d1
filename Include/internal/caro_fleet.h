/*
 * NAME
 *     caro_fleet - messages between the VMs
 *
 * Carries the membership over the network: finds other VMs through seeds
 * and registered addresses, sends probes and gossip, and reports in each
 * heartbeat which revision of the configuration this VM has confirmed as
 * the newest.  The product's own interface and the platform's both use it.
 */
#ifndef CARO_FLEET_H
#define CARO_FLEET_H

#include "caro_error.h"
#include "internal/caro_config_freshness.h"
#include "internal/caro_counters.h"
#include "internal/caro_membership.h"
#include "internal/caro_rpc.h"

#include <event2/event.h>
#include <gsl/gsl_rng.h>

typedef struct CaroFleet CaroFleet;

typedef struct {
    CaroTime heartbeat_interval; /* Time between two probes by this VM. */
    /* Time between two requests for the member list while another VM is
       known; 0 for no such requests. */
    CaroTime rejoin_interval;
    CaroCounters *counters; /* Borrowed. */
} CaroFleetOptions;

/* The first three handlers are required; the others may be NULL. */
typedef struct {
    /* Returns what this VM knows of its configuration's freshness. */
    CaroConfigFreshness (*get_config_freshness)(void *context);
    /* Returns the configuration in force, borrowed; false when there is
       none. */
    bool (*get_config)(void *context, const char **bytes, size_t *size,
                       CaroRevision *revision);
    /* A peer sent its configuration, which was newer when it was requested;
       the text is borrowed. */
    void (*on_config)(void *context, const char *bytes, size_t size,
                      CaroRevision revision);
    /* --- optional --- */
    /* Fills *out with the configuration in force for a VM that has the
       revision "base", borrowed; returns false when there is none.  With this
       handler and the next one, configurations are sent in compressed form. */
    bool (*pack_config)(void *context, CaroRevision base,
                        caro_packed_config *out);
    /* A peer sent its configuration, likewise; borrowed.  Returns 0, or an
       error when it cannot be unpacked. */
    int (*on_packed_config)(void *context, const caro_packed_config *packed);
    /* Returns whether a peer's configuration with the revision is to be
       fetched; without the handler, one that is newer than that in force. */
    bool (*wants_config)(void *context, CaroRevision revision);
    /* A peer, probed at "probed_at", confirmed the revision "age" before; an
       "age" of -1 means that it has not. */
    void (*on_peer_freshness)(void *context, CaroRevision revision,
                              CaroTime age, CaroTime probed_at);
    /* A peer reported its requests in flight; borrowed. */
    void (*on_load_report)(void *context, const caro_load_report *report);
    /* A peer reported parts of prompts that crash upstreams; borrowed. */
    void (*on_prompt_report)(void *context, const caro_prompt_report *report);
    /* A peer read in the store that upstreams leave; borrowed. */
    void (*on_store_notices)(void *context, const caro_store_notices *notices);
    /* A peer named its tunnels through this VM; borrowed. */
    void (*on_tunnel_lease)(void *context, const caro_tunnel_lease *lease);
    /* Evidence on prompts in the present form; borrowed. */
    void (*on_prompt_evidence)(void *context,
                               const caro_prompt_evidence *evidence);
    /* A peer asked for this VM's evidence; the handler has to reply. */
    void (*on_prompt_query)(void *context, CaroRpcRequest *request);
    /* A peer answered this VM's query; borrowed. */
    void (*on_prompt_reply)(void *context,
                            const caro_prompt_evidence *evidence);
    /* Fills the reply to a peer that asks for the changes of the store after a
       revision; returns false for no reply. */
    bool (*collect_store_changes)(void *context, CaroRevision after,
                                  caro_store_change changes[CARO_CHANGES_MAX],
                                  caro_store_changes *reply);
    /* A call for changes, sent at "sent_at" (CaroClock_BootTime) with the
       revision "asked", has ended; "reply" is borrowed, NULL for none. */
    void (*on_store_changes)(void *context, CaroHandle vm, CaroRevision asked,
                             CaroTime sent_at,
                             const caro_store_changes *reply);
    /* Another VM's use of limited upstreams. */
    void (*on_limit_report)(void *context, const caro_limit_report *report);
    /* A peer asked for retries; the handler has to reply. */
    void (*on_retry_loan)(void *context, CaroRpcRequest *request,
                          const caro_retry_loan *args);
    /* A peer's samples of the pace of engines; borrowed. */
    void (*on_pace_report)(void *context, const caro_pace_report *report);
    /* What another VM knows of services short of room. */
    void (*on_room_report)(void *context, const caro_room_report *report);
    /* A peer asked for a permit, or returned one; the handler has to reply. */
    void (*on_permit_call)(void *context, CaroRpcRequest *request,
                           const caro_permit_args *args);
    /* A peer's notice of brittle services; borrowed. */
    void (*on_brittle_notice)(void *context,
                              const caro_brittle_notice *notice);
    /* A peer's parts of prompts that engines hold; borrowed. */
    void (*on_retention_report)(void *context,
                                const caro_retention_report *report);
    /* Collects this VM's evidence of rollouts for a heartbeat; returns the
       count. */
    int (*collect_evidence)(void *context,
                            caro_rollout_evidence evidence[CARO_ROLLOUTS_MAX]);
    /* A heartbeat brought evidence of rollouts from a peer; borrowed. */
    void (*on_evidence)(void *context, CaroHandle vm,
                        const caro_rollout_evidence *evidence, int count);
    /* The state of a VM changed; "before" is the previous one. */
    void (*on_changed)(void *context, const CaroVm *vm,
                       caro_member_state before);
    /* A peer called a procedure that the fleet does not handle.  The handler
       has to reply to the request or ignore it. */
    void (*on_call)(void *context, CaroRpcRequest *request, uint32_t procedure,
                    void *args);
} CaroFleetHandlers;

/* "self" and the options are copied; the generator and the handlers are
   borrowed.  Returns NULL with *err filled when out of memory or the
   peer address cannot be bound. */
CaroFleet *CaroFleet_Create(struct event_base *base, const CaroVm *self,
                            const CaroFleetOptions *options, gsl_rng *rng,
                            const CaroFleetHandlers *handlers, void *context,
                            CaroTime now, CaroError *err);
void CaroFleet_Destroy(CaroFleet *f);

/* Adds a VM from the settings, which may not be running. */
void CaroFleet_AddSeed(CaroFleet *f, const CaroVm *vm, CaroTime now);

/* Adds an address ("ip:port") at which another VM may be reached. */
void CaroFleet_AddAddress(CaroFleet *f, const char *peer);

/* Sends the probes and requests that are due; to be called several times per
   heartbeat interval. */
void CaroFleet_Tick(CaroFleet *f, CaroTime now);

/* Announces to the other VMs that this VM is leaving. */
void CaroFleet_Leave(CaroFleet *f, CaroTime now);

/*
 * Sends this VM's requests in flight and evidence: to all other VMs of a
 * small deployment; in a large one only to those of its own failure domain,
 * where it places most requests.
 */
void CaroFleet_SendLoadReport(CaroFleet *f, const caro_load_report *report);

/* Sends samples of the pace of engines to the VMs that got the load report
   with this sequence number. */
void CaroFleet_SendPaceReport(CaroFleet *f, const caro_pace_report *report,
                              uint32_t sequence);

/* Likewise parts of prompts that engines hold. */
void CaroFleet_SendRetentionReport(CaroFleet *f,
                                   const caro_retention_report *report,
                                   uint32_t sequence);

/* Sends this VM's use of limited upstreams to all usable VMs. */
void CaroFleet_SendLimitReport(CaroFleet *f, const caro_limit_report *report);

/* Sends what this VM knows of services short of room to all usable VMs. */
void CaroFleet_SendRoomReport(CaroFleet *f, const caro_room_report *report);

/* Sends which services are brittle to all usable VMs. */
void CaroFleet_SendBrittleNotice(CaroFleet *f,
                                 const caro_brittle_notice *notice);

/* Sends notices of upstreams that leave to so many usable VMs, chosen at
   random; sets the sender. */
void CaroFleet_SendStoreNotices(CaroFleet *f, caro_store_notices *notices,
                                int fanout);

/* Names to a VM the tunnels through it that are in use; sets the sender. */
void CaroFleet_SendTunnelLease(CaroFleet *f, CaroHandle vm,
                               caro_tunnel_lease *lease);

/* Sends evidence on prompts to so many usable VMs, chosen at random; "old" has
   it in the form of earlier versions, and may be NULL. */
void CaroFleet_SendPromptEvidence(CaroFleet *f,
                                  const caro_prompt_evidence *evidence,
                                  const caro_prompt_report *old, int fanout);

/* Asks some usable VMs, chosen at random, for their evidence on prompts. */
void CaroFleet_QueryPrompts(CaroFleet *f);

/* Asks a VM for the changes of the store after a revision; the outcome goes to
   on_store_changes. */
void CaroFleet_RequestStoreChanges(CaroFleet *f, CaroHandle vm,
                                   CaroRevision revision, CaroTime timeout);

/* Requests the configuration of a VM that has a newer one, unless such a call
   is in progress. */
void CaroFleet_FetchConfig(CaroFleet *f, CaroHandle vm);

/* Sends a heartbeat with the latest state to "fanout" usable VMs chosen at
   random, or fewer when there are not as many. */
void CaroFleet_Announce(CaroFleet *f, int fanout);

/* Replies with a heartbeat to a call from the VM that "to" names. */
void CaroFleet_ReplyWithHeartbeat(CaroFleet *f, CaroRpcRequest *request,
                                  const char *to);

/* Return borrowed objects, for parts that call other VMs or report a failure
   of one. */
CaroRpc *CaroFleet_Rpc(CaroFleet *f);
CaroMembership *CaroFleet_GetMembership(CaroFleet *f);

/* Returns the membership, borrowed, for the directory and for reports. */
const CaroMembership *CaroFleet_GetMembershipConst(const CaroFleet *f);

/*
 * Returns the number of VMs that may be running: this one and the other
 * members, also those that are not reached, but without those that announced
 * to leave and are gone; or the known addresses, if they are more, as those of
 * a partition that start in it know no other members.
 */
int CaroFleet_CountKnown(const CaroFleet *f);

/* Returns whether another VM has sent its member list, or long enough has
   passed since the start to assume that there is no other VM. */
bool CaroFleet_IsJoined(const CaroFleet *f, CaroTime now);

#endif
