/*
 * NAME
 *     caro_membership - which VMs are alive, by random probing
 *
 * In each period a VM probes one other VM with a heartbeat.  If that VM does
 * not answer, it asks a few others to probe it.  If these get no answer
 * either, it suspects the VM, and after a timeout declares it dead.  Updates
 * about members are carried by heartbeats.  The load per VM does not depend
 * on the size of the fleet.
 *
 * The type is a state machine without I/O: the owner passes it messages and
 * the time, and sends what CaroMembership_Next returns.
 *
 * SOURCE
 *     A. Das, I. Gupta, A. Motivala, "SWIM", DSN 2002; A. Dadgar,
 *     J. Phillips, J. Currey, "Lifeguard", DSN-W 2018 (a VM that misses
 *     answers to its own probes waits longer before it suspects others).
 */
#ifndef CARO_MEMBERSHIP_H
#define CARO_MEMBERSHIP_H

#include "caro_peer.h"
#include "internal/caro_types.h"

enum { CARO_VMS_MAX = 1024, CARO_INDIRECT_PROBERS_MAX = 3 };

/* A VM of the fleet, as far as this VM knows. */
typedef struct {
    char name[CARO_NAME_SIZE];
    char http[CARO_ADDRESS_SIZE]; /* Address for callers. */
    char peer[CARO_ADDRESS_SIZE]; /* Address for other VMs. */
    char domain[CARO_NAME_SIZE];
    char region[CARO_NAME_SIZE];
    uint64_t incarnation;
    uint64_t boot_id; /* Identity of one start of the process; random. */
    caro_member_state state;
    CaroTime state_since; /* When the state was entered here. */
    bool has_left;        /* It announced to leave and was not alive since. */
} CaroVm;

typedef struct CaroMembership CaroMembership;

typedef enum {
    CARO_SEND_PROBE,          /* Send a heartbeat to the target. */
    CARO_SEND_INDIRECT_PROBE, /* Ask another VM to probe the target. */
    CARO_MEMBER_CHANGED       /* A member's state changed; nothing to send. */
} CaroMembershipEventKind;

typedef struct {
    CaroMembershipEventKind kind;
    CaroHandle vm;            /* The receiver, or the member that changed. */
    CaroHandle target;        /* For CARO_SEND_INDIRECT_PROBE. */
    caro_member_state before; /* For CARO_MEMBER_CHANGED. */
} CaroMembershipEvent;

/* Creates a membership that knows only *self, which is copied. */
CaroMembership *CaroMembership_Create(const CaroVm *self, CaroTime period,
                                      uint64_t seed, CaroTime now);
void CaroMembership_Destroy(CaroMembership *m);

/* Adds a VM from the settings, which may or may not be running. */
void CaroMembership_AddSeed(CaroMembership *m, const CaroVm *vm, CaroTime now);

/* Applies one update; returns true if it changed what is known. */
bool CaroMembership_Apply(CaroMembership *m, const caro_member_update *u,
                          CaroTime now);

/* Applies an update from the whole list of another member, which needs no
   further gossip. */
void CaroMembership_ApplyWithoutGossip(CaroMembership *m,
                                       const caro_member_update *u,
                                       CaroTime now);

/* Records that a heartbeat, or an answer to one, came from the named VM. */
void CaroMembership_RecordHeard(CaroMembership *m, const char *name,
                                CaroTime now);

/* Runs the timers; call it several times a period. */
void CaroMembership_Tick(CaroMembership *m, CaroTime now);

/* Removes the next event; returns false when there is none. */
bool CaroMembership_Next(CaroMembership *m, CaroMembershipEvent *event);

/*
 * Fills at most CARO_UPDATES_MAX updates for a heartbeat to "vm" and returns
 * the count.  The state of this VM is always included; the others are those
 * sent least often.  The strings are borrowed until the next call that
 * changes the membership.
 */
int CaroMembership_CollectGossip(CaroMembership *m, CaroHandle vm,
                                 caro_member_update *updates);

/* Fills an update for each member, for a VM that starts.  Returns the count.
   The strings are borrowed likewise. */
int CaroMembership_CollectAll(CaroMembership *m, caro_member_update *updates,
                              int updates_max);

/* Sets the state of this VM to leaving. */
void CaroMembership_Leave(CaroMembership *m, CaroTime now);

int CaroMembership_Count(const CaroMembership *m);
const CaroVm *CaroMembership_Get(const CaroMembership *m, CaroHandle vm);
CaroHandle CaroMembership_Find(const CaroMembership *m, const char *name);

/* The handle of this VM. */
#define CARO_SELF ((CaroHandle)0)

/* Usable members are neither dead, suspected nor leaving. */
int CaroMembership_CountUsable(const CaroMembership *m);
bool CaroMembership_IsUsable(const CaroMembership *m, CaroHandle vm);

/* Returns how many usable members have a name before that of this VM. */
int CaroMembership_Rank(const CaroMembership *m);

/* Probes the VM next, because a message to it failed. */
void CaroMembership_ProbeNext(CaroMembership *m, CaroHandle vm);

/*
 * A message to the VM failed: it is not chosen as a backup VM or listed as
 * an address before "until".  Its state is left for the probes to change.
 */
void CaroMembership_Distrust(CaroMembership *m, CaroHandle vm, CaroTime until);
bool CaroMembership_IsTrusted(const CaroMembership *m, CaroHandle vm,
                              CaroTime now);

/*
 * Chooses the trusted VM that keeps the replica for "id", by rendezvous
 * hashing: if possible in another failure domain of the same region, then in
 * another region.  Returns CARO_NO_HANDLE when there is no other VM.
 */
CaroHandle CaroMembership_ChooseBackup(const CaroMembership *m, uint64_t id,
                                       CaroTime now);

/* Tells whether this VM is among the "chosen_max" VMs of its region for
   "role", so that a few VMs and not all do a task. */
bool CaroMembership_IsChosen(const CaroMembership *m, const char *role,
                             int chosen_max);

/* Fills the handles of the first "chosen_max" usable VMs of this VM's failure
   domain for "role", in their order; returns their number.  This VM may be
   among them. */
int CaroMembership_ChooseInDomain(const CaroMembership *m, const char *role,
                                  CaroHandle *chosen, int chosen_max);

/* Likewise of all usable VMs. */
int CaroMembership_ChooseOfAll(const CaroMembership *m, const char *role,
                               CaroHandle *chosen, int chosen_max);

/* Returns a word for logs and reports. */
const char *CaroMembership_StateName(caro_member_state state);

#endif
