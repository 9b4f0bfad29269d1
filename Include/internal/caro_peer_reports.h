/*
 * NAME
 *     caro_peer_reports - reports between the VMs of a deployment
 *
 * Sends what this VM knows to the others when it is due, and applies what they
 * report: load and evidence of rollouts, pace of engines, parts of prompts
 * that they hold, parts that crash them, limits, and services short of room.
 * Each part decides itself what it reports, and when.
 */
#ifndef CARO_PEER_REPORTS_H
#define CARO_PEER_REPORTS_H

#include "internal/caro_fleet.h"
#include "internal/caro_peer_loads.h"
#include "internal/caro_relay.h"

typedef struct CaroPeerReports CaroPeerReports;

/* Borrowed; all of them are required. */
typedef struct {
    CaroFleet *fleet;
    CaroTargets *targets;
    CaroPeerLoads *peer_loads;
    CaroEnginePace *pace;
    CaroRetainedPrompts *retained;
    CaroServiceRollouts *rollouts;
    CaroPromptGuard *guard;
    CaroRequestLimits *limits;
    CaroServiceRoom *room;
    CaroRelays *relays;
    CaroCounters *counters;
    char *vm; /* Name of this VM. */
    uint64_t boot_id;
} CaroPeerReportsDeps;

/* Returns NULL without memory.  Destroy accepts NULL. */
CaroPeerReports *CaroPeerReports_Create(const CaroPeerReportsDeps *deps);
void CaroPeerReports_Destroy(CaroPeerReports *p);

/* Sends the reports that are due; to be called several times a second. */
void CaroPeerReports_Tick(CaroPeerReports *p, CaroTime now);

/* Apply the report of another VM. */
void CaroPeerReports_ApplyLoad(CaroPeerReports *p,
                               const caro_load_report *report, CaroTime now);
void CaroPeerReports_ApplyPace(CaroPeerReports *p,
                               const caro_pace_report *report, CaroTime now);
void CaroPeerReports_ApplyRetention(CaroPeerReports *p,
                                    const caro_retention_report *report,
                                    CaroTime now);

#endif
