/*
 * NAME
 *     caro_room_reports - what other VMs report of services short of room
 *
 * Keeps the last report of each VM, and the sums over all of them by service,
 * which are updated with each report and never recomputed.  A report counts
 * for two seconds.
 */
#ifndef CARO_ROOM_REPORTS_H
#define CARO_ROOM_REPORTS_H

#include "caro_peer.h"
#include "internal/caro_types.h"

typedef struct CaroRoomReports CaroRoomReports;

/* Sums over the other VMs, per 1,000 s. */
typedef struct {
    int vms; /* That reported the service. */
    int64_t requests[CARO_ROOM_RANKS];
    int64_t answers;
    int64_t rejections;
} CaroRoomSums;

/* The requests of an account, summed over the other VMs. */
typedef struct {
    uint32_t account; /* Hash of its name. */
    int rank;
    int64_t requests; /* Per 1,000 s. */
} CaroRoomAccount;

/* Returns NULL without memory.  Destroy accepts NULL. */
CaroRoomReports *CaroRoomReports_Create(void);
void CaroRoomReports_Destroy(CaroRoomReports *r);

/* Replaces the sender's previous report.  Returns false and ignores it when it
   is older than that. */
bool CaroRoomReports_Apply(CaroRoomReports *r, const caro_room_report *report,
                           CaroTime now);

/* Forgets the reports that no longer count. */
void CaroRoomReports_Expire(CaroRoomReports *r, CaroTime now);

/* Returns the sums of the service with the hash; all 0 without a report. */
CaroRoomSums CaroRoomReports_Get(const CaroRoomReports *r, uint32_t service);

/* Writes up to "max" accounts with requests of the rank; returns their
   number. */
int CaroRoomReports_ListAccounts(const CaroRoomReports *r, uint32_t service,
                                 int rank, CaroRoomAccount *out, int max);

/* Requests of the account, per 1,000 s. */
int64_t CaroRoomReports_Account(const CaroRoomReports *r, uint32_t service,
                                uint32_t account, int rank);

/* Time since the oldest report that counts arrived; -1 without reports. */
CaroTime CaroRoomReports_OldestAge(const CaroRoomReports *r, CaroTime now);

#endif
