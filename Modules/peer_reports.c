/* Reports between the VMs of a gateway's deployment. */
#include "internal/caro_peer_reports.h"

#include "internal/caro_log.h"

#include <stdlib.h>

#define LOAD_REPORT_INTERVAL (1500 * CARO_MS)

struct CaroPeerReports {
    CaroPeerReportsDeps deps;
    uint32_t load_sequence;
    uint32_t limit_sequence;
    uint32_t room_sequence;
    CaroTime next_load_report;
};

CaroPeerReports *
CaroPeerReports_Create(const CaroPeerReportsDeps *deps)
{
    CaroPeerReports *p = calloc(1, sizeof(*p));
    if (p != NULL) {
        p->deps = *deps;
    }
    return p;
}

void
CaroPeerReports_Destroy(CaroPeerReports *p)
{
    free(p);
}

void
CaroPeerReports_ApplyLoad(CaroPeerReports *p, const caro_load_report *report,
                          CaroTime now)
{
    CaroTargetFailures failures;
    CaroHandle vm = CaroMembership_Find(
        CaroFleet_GetMembershipConst(p->deps.fleet), report->sender);
    if (vm != CARO_NO_HANDLE) {
        CaroServiceRollouts_ApplyEvidence(
            p->deps.rollouts, vm, report->boot_id,
            report->evidence.evidence_val, (int)report->evidence.evidence_len);
    }
    CaroPeerLoads_Apply(p->deps.peer_loads, report, &failures, now);
    for (int i = 0; i < failures.n; i++) {
        CaroHandle h = failures.all[i].target;
        CaroTargets_Avoid(p->deps.targets, h, failures.all[i].failure, now);
        if (failures.all[i].failure == CARO_TARGET_SILENT) {
            CaroRelays_OnTargetSuspected(p->deps.relays, h, now);
        }
    }
    for (int i = 0; i < failures.n_leaving; i++) {
        CaroLog_Info("registry",
                     "Another VM reported that an upstream leaves. "
                     "upstream=%s vm=%s",
                     CaroTargets_GetConst(p->deps.targets, failures.leaving[i])
                         ->entry.id,
                     report->sender);
    }
}

void
CaroPeerReports_ApplyPace(CaroPeerReports *p, const caro_pace_report *report,
                          CaroTime now)
{
    int n = CaroEnginePace_Apply(p->deps.pace, p->deps.targets, report, now);
    CaroCounters_Add(p->deps.counters, CARO_COUNT_PEER_PACE_SAMPLES,
                     (uint64_t)n);
}

void
CaroPeerReports_ApplyRetention(CaroPeerReports *p,
                               const caro_retention_report *report,
                               CaroTime now)
{
    int n = CaroRetainedPrompts_Apply(p->deps.retained, p->deps.targets,
                                      report, now);
    CaroCounters_Add(p->deps.counters, CARO_COUNT_PEER_RETAINED_PARTS,
                     (uint64_t)n);
}

static void
send_pace_report(CaroPeerReports *p, CaroTime now)
{
    CaroPaceReport out;
    if (CaroEnginePace_Collect(p->deps.pace, &out, now)) {
        out.report.sender = p->deps.vm;
        out.report.boot_id = p->deps.boot_id;
        CaroFleet_SendPaceReport(p->deps.fleet, &out.report, p->load_sequence);
    }
}

static void
send_retention_report(CaroPeerReports *p, CaroTime now)
{
    CaroRetentionReport out;
    p->deps.counters->values[CARO_COUNT_RETAINED_PARTS] =
        (uint64_t)CaroRetainedPrompts_Count(p->deps.retained);
    if (CaroRetainedPrompts_Collect(p->deps.retained, &out, now)) {
        out.report.sender = p->deps.vm;
        CaroFleet_SendRetentionReport(p->deps.fleet, &out.report,
                                      p->load_sequence);
    }
}

/* Sends the requests in flight, the evidence of rollouts, samples of pace and
   retained parts to the other VMs, after a change and at LOAD_REPORT_INTERVAL.
 */
static void
send_load_report(CaroPeerReports *p, CaroTime now)
{
    caro_target_load loads[CARO_LOADS_MAX];
    caro_rollout_evidence evidence[CARO_ROLLOUTS_MAX];
    bool has_evidence = CaroServiceRollouts_ConsumeChange(p->deps.rollouts);
    bool has_change = CaroRelays_ConsumeChange(p->deps.relays) || has_evidence;
    if (!has_change && now < p->next_load_report) {
        return;
    }
    caro_load_report report = {.sender = p->deps.vm,
                               .boot_id = p->deps.boot_id,
                               .sequence = ++p->load_sequence};
    report.loads.loads_val = loads;
    report.loads.loads_len =
        (u_int)CaroPeerLoads_Collect(p->deps.targets, loads, now);
    report.evidence.evidence_val = evidence;
    report.evidence.evidence_len =
        (u_int)CaroServiceRollouts_CollectEvidence(p->deps.rollouts, evidence);
    p->next_load_report = now + LOAD_REPORT_INTERVAL;
    if (has_change || report.loads.loads_len > 0 ||
        report.evidence.evidence_len > 0) {
        CaroFleet_SendLoadReport(p->deps.fleet, &report);
    }
    send_pace_report(p, now);
    send_retention_report(p, now);
}

static void
tick_guard(CaroPeerReports *p, CaroTime now)
{
    CaroPromptEvidence out;
    CaroPromptReport old;
    const CaroMembership *members =
        CaroFleet_GetMembershipConst(p->deps.fleet);
    CaroPromptGuard_Tick(p->deps.guard, CaroMembership_Rank(members), now);
    if (CaroPromptGuard_ConsumeQuery(
            p->deps.guard, CaroMembership_CountUsable(members) > 1, now)) {
        CaroFleet_QueryPrompts(p->deps.fleet);
    }
    if (CaroPromptGuard_ConsumeQuarantine(p->deps.guard)) {
        CaroRelays_EndQuarantined(p->deps.relays, now);
    }
    int fanout = CaroPromptGuard_Collect(p->deps.guard, &out, now);
    if (fanout > 0) {
        /* Quarantines are what VMs of earlier versions need. */
        bool has_old = out.evidence.quarantines.quarantines_len > 0 &&
                       CaroPromptGuard_CollectOld(p->deps.guard, &old, now);
        out.evidence.sender = p->deps.vm;
        if (has_old) {
            old.report.sender = p->deps.vm;
        }
        CaroFleet_SendPromptEvidence(p->deps.fleet, &out.evidence,
                                     has_old ? &old.report : NULL, fanout);
    }
}

static void
tick_limits(CaroPeerReports *p, int vms, CaroTime now)
{
    CaroLimitReport out;
    CaroRequestLimits_SetVms(p->deps.limits, vms);
    if (CaroRequestLimits_Collect(p->deps.limits, &out, now)) {
        out.report.sender = p->deps.vm;
        out.report.boot_id = p->deps.boot_id;
        out.report.sequence = ++p->limit_sequence;
        CaroFleet_SendLimitReport(p->deps.fleet, &out.report);
    }
}

static void
log_room_change(CaroPeerReports *p, const CaroRoomState *s)
{
    if (s->is_short) {
        CaroCounters_Add(p->deps.counters, CARO_COUNT_ROOM_SHORTAGES, 1);
    }
    CaroLog_Info(
        "room",
        "%s service=%s wait_ms=%lld observed_age_ms=%lld capacity_per_s=%.1f "
        "requests_per_s=%.1f/%.1f/%.1f/%.1f waited_per_s=%.1f "
        "rejections_per_s=%.1f reports=%d "
        "report_age_ms=%lld held=%d",
        s->is_short ? "A service is short of room."
                    : "A service is no longer short of room.",
        s->service, (long long)(s->wait / CARO_MS),
        (long long)(s->observed_age / CARO_MS), s->capacity, s->requests[0],
        s->requests[1], s->requests[2], s->requests[3], s->waited,
        s->rejections, s->reports, (long long)(s->report_age / CARO_MS),
        s->held);
}

static void
tick_room(CaroPeerReports *p, int vms, CaroTime now)
{
    CaroRoomReport out;
    CaroRoomState state;
    CaroServiceRoom_SetVms(p->deps.room, vms);
    while (CaroServiceRoom_Tick(p->deps.room, &state, now)) {
        log_room_change(p, &state);
    }
    if (CaroServiceRoom_Collect(p->deps.room, &out, now)) {
        out.report.sender = p->deps.vm;
        out.report.boot_id = p->deps.boot_id;
        out.report.sequence = ++p->room_sequence;
        CaroCounters_Add(p->deps.counters, CARO_COUNT_ROOM_REPORTS, 1);
        CaroFleet_SendRoomReport(p->deps.fleet, &out.report);
    }
}

void
CaroPeerReports_Tick(CaroPeerReports *p, CaroTime now)
{
    int vms = CaroMembership_CountUsable(
        CaroFleet_GetMembershipConst(p->deps.fleet));
    send_load_report(p, now);
    tick_guard(p, now);
    tick_limits(p, vms, now);
    tick_room(p, vms, now);
}
