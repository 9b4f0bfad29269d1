/*
 * NAME
 *     caro_membership - which VMs are alive, by random probing
 *
 * Each period a VM probes one other with a heartbeat.  Without an answer
 * it asks a few others to probe the target; without theirs it suspects
 * the target, and after a while declares it dead.  News about members
 * rides on heartbeats.  The cost a VM is constant in the fleet's size.
 *
 * The type is a pure state machine: the owner feeds it messages and the
 * time, and sends what CaroMembership_Next returns.
 *
 * SOURCE
 *     A. Das, I. Gupta, A. Motivala, "SWIM", DSN 2002; A. Dadgar,
 *     J. Phillips, J. Currey, "Lifeguard", DSN-W 2018 (a VM that misses
 *     answers itself waits longer before it suspects others).
 */
#ifndef CARO_MEMBERSHIP_H
#define CARO_MEMBERSHIP_H

#include "caro_peer.h"
#include "internal/caro_types.h"

enum { CARO_VMS_MAX = 1024, CARO_INDIRECT_PROBERS_MAX = 3 };

typedef struct {
    char name[CARO_NAME_SIZE];
    char http[CARO_ADDRESS_SIZE];
    char peer[CARO_ADDRESS_SIZE];
    char domain[CARO_NAME_SIZE];
    char region[CARO_NAME_SIZE];
    uint64_t incarnation;
    uint64_t boot_id; /* Random for each start of the process. */
    caro_member_state state;
    CaroTime since; /* When the state was entered here. */
} CaroVm;

typedef struct CaroMembership CaroMembership;

typedef enum {
    CARO_SEND_PROBE,          /* Send a heartbeat to the target. */
    CARO_SEND_INDIRECT_PROBE, /* Ask the helper to probe the target. */
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

/* A VM from the settings that may or may not run. */
void CaroMembership_AddSeed(CaroMembership *m, const CaroVm *vm, CaroTime now);

/* Takes one statement in; returns true when it was news. */
bool CaroMembership_Apply(CaroMembership *m, const caro_member_update *u,
                          CaroTime now);

/* The same from the whole list of another member: no news to pass on. */
void CaroMembership_ApplyWithoutGossip(CaroMembership *m,
                                       const caro_member_update *u,
                                       CaroTime now);

/* A heartbeat or an answer to one came from the named VM. */
void CaroMembership_RecordHeard(CaroMembership *m, const char *name,
                                CaroTime now);

/* Lets time pass; call it several times a period. */
void CaroMembership_Tick(CaroMembership *m, CaroTime now);

/* Takes the next event; returns false when there is none. */
bool CaroMembership_Next(CaroMembership *m, CaroMembershipEvent *event);

/*
 * Fills at most CARO_UPDATES_MAX updates for a heartbeat to "vm", the
 * least often told first, its own state always.  The strings are
 * borrowed until the next call that changes the membership.
 */
int CaroMembership_CollectGossip(CaroMembership *m, CaroHandle vm,
                                 caro_member_update *updates);

/* All members, for a VM that starts; returns the count. */
int CaroMembership_CollectAll(CaroMembership *m, caro_member_update *updates,
                              int most);

/* This VM announces that it leaves. */
void CaroMembership_Leave(CaroMembership *m, CaroTime now);

int CaroMembership_Count(const CaroMembership *m);
const CaroVm *CaroMembership_Get(const CaroMembership *m, CaroHandle vm);
CaroHandle CaroMembership_Find(const CaroMembership *m, const char *name);

/* Handle of this VM is always 0. */
#define CARO_SELF ((CaroHandle)0)

/* Members that are neither dead, suspected nor leaving. */
int CaroMembership_CountUsable(const CaroMembership *m);
bool CaroMembership_IsUsable(const CaroMembership *m, CaroHandle vm);

/* How many usable members have a name before this VM's. */
int CaroMembership_Rank(const CaroMembership *m);

/* A message to the VM failed: it is probed next. */
void CaroMembership_ProbeNext(CaroMembership *m, CaroHandle vm);

/*
 * A message to the VM failed: it is not chosen as backup or listed as an
 * address until then, though its state stays for the probes to decide.
 */
void CaroMembership_Distrust(CaroMembership *m, CaroHandle vm, CaroTime until);
bool CaroMembership_IsTrusted(const CaroMembership *m, CaroHandle vm,
                              CaroTime now);

/*
 * The trusted VM that should back up "id": another failure domain if
 * there is one, the same region if possible, by rendezvous hashing.
 * Returns CARO_NO_HANDLE when there is no other VM.
 */
CaroHandle CaroMembership_ChooseBackup(const CaroMembership *m, uint64_t id,
                                       CaroTime now);

/* True when this VM ranks among the first "most" of its region for "role",
   so that a few VMs and not all do a thing. */
bool CaroMembership_IsChosen(const CaroMembership *m, const char *role,
                             int most);

/* For logs and reports. */
const char *CaroMembership_StateName(caro_member_state state);

#endif
