/* Quarantines in the platform's store. */
#include "internal/caro_quarantine_store.h"

#include "internal/caro_clock.h"
#include "internal/caro_log.h"
#include "internal/caro_platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* Each VM leaves the VMs of lower rank this time to write a quarantine. */
#define RANK_DELAY (500 * CARO_MS)
/* VMs that try to write a quarantine. */
#define WRITERS_MAX 6
#define WRITE_TIMEOUT (1 * CARO_SECOND)
#define WRITE_RETRY_DELAY (2 * CARO_SECOND)
/* The platform's longest lease, and the time before its end at which a
   quarantine is written again. */
#define LEASE_TTL_MAX (600 * CARO_SECOND)
#define RENEWAL_TIME (120 * CARO_SECOND)
/* A permit is used within this time, or left to another VM. */
#define PERMIT_TTL (30 * CARO_SECOND)
#define PERMIT_LEASE_TTL (60 * CARO_SECOND)
/* Quarantines of VMs that do not write them again. */
#define OLD_QUARANTINE_TTL (600 * CARO_SECOND)

typedef enum { WRITE_QUARANTINE, WRITE_PROBE } WriteKind;

struct CaroQuarantineStore {
    CaroPromptCrashes *table;
    CaroStoreClient *client;
    bool is_writing;
    WriteKind kind;
    CaroQuarantine writing; /* A copy of the quarantine. */
    CaroTime next_write;
    CaroPromptParts permitted; /* Quarantine that may be probed. */
    CaroTime permitted_until;
};

CaroQuarantineStore *
CaroQuarantineStore_Create(CaroPromptCrashes *table, CaroStoreClient *client)
{
    CaroQuarantineStore *s = calloc(1, sizeof(*s));
    if (s != NULL) {
        s->table = table;
        s->client = client;
    }
    return s;
}

void
CaroQuarantineStore_Destroy(CaroQuarantineStore *s)
{
    free(s);
}

static void
mark_stored(CaroPromptCrashes *table, const CaroPromptParts *parts,
            CaroTime until)
{
    int n;
    CaroQuarantine *all = CaroPromptCrashes_Quarantines(table, &n);
    for (int i = 0; i < n; i++) {
        if (CaroPromptParts_Equal(&all[i].parts, parts) &&
            all[i].stored_until < until) {
            all[i].stored_until = until;
        }
    }
}

void
CaroQuarantineStore_OnStored(CaroPromptCrashes *table, const char *bytes,
                             size_t size, int64_t wall_ms, CaroTime now)
{
    CaroStoredQuarantine in;
    char text[CARO_PROMPT_PARTS_TEXT_SIZE];
    if (bytes == NULL || CaroPlatform_ReadQuarantine(bytes, size, &in) < 0 ||
        in.until_ms <= wall_ms) {
        return;
    }
    /* Bounded, as the wall clocks of VMs may differ.  The time of the decision
       lets progress since then disprove it, also when it is read again. */
    CaroTime ttl = in.has_probes ? CARO_QUARANTINE_TTL : OLD_QUARANTINE_TTL;
    CaroTime left = in.until_ms - ttl / CARO_MS < wall_ms
                        ? (CaroTime)(in.until_ms - wall_ms) * CARO_MS
                        : ttl;
    CaroQuarantine q = {.parts = in.parts,
                        .probes = in.probes,
                        .events = in.events,
                        .at = now + left - ttl,
                        .expires_at = now + left};
    if (CaroPromptCrashes_AddQuarantine(table, &q, now) != NULL) {
        CaroLog_Info("guard", "A quarantine was read. parts=%s",
                     CaroPromptParts_Format(&in.parts, text));
    }
    CaroTime lease_left = left < LEASE_TTL_MAX ? left : LEASE_TTL_MAX;
    mark_stored(table, &in.parts, now + lease_left);
}

/* The lease of what is being written. */
static CaroTime
lease_time(const CaroQuarantineStore *s, CaroTime now)
{
    CaroTime left = s->writing.expires_at - now;
    CaroTime most = s->kind == WRITE_PROBE ? PERMIT_LEASE_TTL : LEASE_TTL_MAX;
    return left < most ? left : most;
}

static void
on_written(void *context, int code, int status,
           const CaroStoreResponse *response, CaroTime sent_at)
{
    CaroQuarantineStore *s = context;
    char text[CARO_PROMPT_PARTS_TEXT_SIZE];
    CaroTime now = CaroClock_Now();
    (void)response;
    (void)sent_at;
    s->is_writing = false;
    switch (s->kind) {
    case WRITE_QUARANTINE:
        /* 412: another VM has written it, some time ago. */
        if (code == 0 && (status == 200 || status == 412)) {
            mark_stored(
                s->table, &s->writing.parts,
                now + (status == 200 ? lease_time(s, now) : 2 * RENEWAL_TIME));
        }
        break;
    case WRITE_PROBE:
        if (code == 0 && status == 200) {
            s->permitted = s->writing.parts;
            s->permitted_until = now + PERMIT_TTL;
        }
        break;
    }
    CaroLog_Info("guard",
                 "A write of a quarantine ended. what=%s parts=%s probes=%d "
                 "code=%d status=%d",
                 s->kind == WRITE_PROBE ? "probe" : "quarantine",
                 CaroPromptParts_Format(&s->writing.parts, text),
                 s->writing.probes, code, status);
}

/* Names the key by the parts.  Renewals have other names, since a key is only
   created; so have the permits of further probes. */
static void
write_key(const CaroQuarantineStore *s, CaroTime now, char *key, size_t size)
{
    char name[CARO_NAME_SIZE];
    const CaroQuarantine *q = &s->writing;
    unsigned long long hash =
        XXH64(q->parts.ids, (size_t)q->parts.n * sizeof(q->parts.ids[0]), 0);
    unsigned period = (unsigned)((now - q->at) / RENEWAL_TIME);
    (void)snprintf(name, sizeof(name),
                   s->kind == WRITE_PROBE ? "%016llx-p%u" : "%016llx-%u", hash,
                   s->kind == WRITE_PROBE ? (unsigned)q->probes : period);
    CaroPlatform_WriteKey(key, size, CARO_KEY_QUARANTINE, name);
}

static void
on_lease_granted(void *context, int code, int status,
                 const CaroStoreResponse *response, CaroTime sent_at)
{
    CaroQuarantineStore *s = context;
    char key[CARO_STORE_KEY_SIZE];
    CaroStoreCall call;
    CaroTime now = CaroClock_Now();
    (void)sent_at;
    s->is_writing = false;
    if (code < 0 || status != 200) {
        return;
    }
    CaroStoredQuarantine out = {.parts = s->writing.parts,
                                .until_ms =
                                    (int64_t)CaroClock_WallMs() +
                                    (s->writing.expires_at - now) / CARO_MS,
                                .has_probes = true,
                                .probes = s->writing.probes,
                                .events = s->writing.events};
    char *value = s->kind == WRITE_PROBE ? strdup("{}")
                                         : CaroPlatform_WriteQuarantine(&out);
    write_key(s, now, key, sizeof(key));
    if (value != NULL &&
        CaroPlatform_CallPut(&call, key, value, 0, response->lease) == 0) {
        s->is_writing = true;
        CaroStoreClient_Call(s->client, &call, WRITE_TIMEOUT, on_written, s);
    }
    free(value);
}

/* Requests a lease, under which the key is then created. */
static void
begin_write(CaroQuarantineStore *s, WriteKind kind, const CaroQuarantine *q,
            CaroTime now)
{
    CaroStoreCall call;
    s->kind = kind;
    s->writing = *q;
    if (CaroPlatform_CallLease(&call, lease_time(s, now)) == 0) {
        s->is_writing = true;
        s->next_write = now + WRITE_RETRY_DELAY;
        CaroStoreClient_Call(s->client, &call, WRITE_TIMEOUT, on_lease_granted,
                             s);
    }
}

void
CaroQuarantineStore_Tick(CaroQuarantineStore *s, int rank, CaroTime now)
{
    int n;
    if (s->is_writing || now < s->next_write || rank >= WRITERS_MAX) {
        return;
    }
    const CaroQuarantine *all =
        CaroPromptCrashes_QuarantinesConst(s->table, &n);
    for (int i = 0; i < n; i++) {
        const CaroQuarantine *q = &all[i];
        CaroTime due_at = q->stored_until == 0
                              ? q->received_at
                              : q->stored_until - RENEWAL_TIME;
        if (!q->is_lifted && q->expires_at - now >= CARO_SECOND &&
            now - due_at >= rank * RANK_DELAY) {
            begin_write(s, WRITE_QUARANTINE, q, now);
            return;
        }
    }
}

void
CaroQuarantineStore_RequestProbe(CaroQuarantineStore *s,
                                 const CaroQuarantine *q, CaroTime now)
{
    if (!s->is_writing && now >= s->next_write) {
        begin_write(s, WRITE_PROBE, q, now);
    }
}

bool
CaroQuarantineStore_TakeProbe(CaroQuarantineStore *s,
                              const CaroPromptParts *parts, CaroTime now)
{
    if (now >= s->permitted_until ||
        !CaroPromptParts_Equal(&s->permitted, parts)) {
        return false;
    }
    s->permitted_until = 0;
    return true;
}
