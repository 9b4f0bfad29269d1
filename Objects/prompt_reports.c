/* Messages with evidence on prompts that crash upstreams. */
#include "internal/caro_prompt_reports.h"

#include <string.h>

/* Longest age in a message; above the life of a quarantine. */
enum { AGE_MS_MAX = 100000000 };
/* A datagram carries 8 KB. */
enum { MESSAGE_BYTES_MAX = 7000 };
/* Encoded sizes without parts, and of a part. */
enum {
    LOSS_BYTES = 48,
    PROGRESS_BYTES = 24,
    QUARANTINE_BYTES = 16,
    PART_BYTES = 8
};
/* What was learned in this time is news. */
#define NEWS_TTL (1 * CARO_SECOND)
/* Crashes that are always sent, the newest ones. */
enum { NEWEST_CRASHES = 24 };

/* Life of a quarantine of a VM of an earlier version. */
#define OLD_QUARANTINE_TTL (600 * CARO_SECOND)

static u_int
age_ms(CaroTime at, CaroTime now)
{
    if (at == CARO_NEVER_PASSED) {
        return AGE_MS_MAX;
    }
    CaroTime ms = (now - at) / CARO_MS;
    return ms < 0 ? 0 : ms < AGE_MS_MAX ? (u_int)ms : AGE_MS_MAX;
}

static CaroTime
time_of(u_int age_ms, CaroTime now)
{
    return now - (CaroTime)age_ms * CARO_MS;
}

static void
read_parts(const u_quad_t *ids, u_int n, CaroPromptParts *parts)
{
    parts->n = 0;
    for (u_int i = 0; i < n; i++) {
        CaroPromptParts_Add(parts, ids[i]);
    }
}

/* Adds the progress of the parts since a time that is not listed yet. */
static void
collect_progress(const CaroPromptCrashes *t, const CaroPromptParts *parts,
                 CaroPromptEvidence *out, size_t *size, CaroTime since,
                 CaroTime now)
{
    u_int *n = &out->evidence.progress.progress_len;
    for (int i = 0; i < parts->n; i++) {
        CaroTime finished_at;
        CaroTime events_at;
        uint32_t events;
        bool is_listed =
            *n == CARO_PARTS_PROGRESS_MAX ||
            *size + PROGRESS_BYTES > MESSAGE_BYTES_MAX ||
            !CaroPromptCrashes_GetProgress(t, parts->ids[i], &finished_at,
                                           &events, &events_at) ||
            (finished_at < since && events_at < since);
        for (u_int j = 0; j < *n && !is_listed; j++) {
            is_listed = out->progress[j].part == parts->ids[i];
        }
        if (!is_listed) {
            *size += PROGRESS_BYTES;
            out->progress[(*n)++] = (caro_part_progress){
                .part = parts->ids[i],
                .is_finished = finished_at != CARO_NEVER_PASSED,
                .finished_age_ms = age_ms(finished_at, now),
                .events = events_at == CARO_NEVER_PASSED ? 0 : events,
                .events_age_ms = age_ms(events_at, now)};
        }
    }
}

static void
collect_quarantines(CaroPromptCrashes *t, CaroPromptEvidence *out,
                    size_t *size, CaroTime since, CaroTime now)
{
    int n;
    CaroQuarantine *all = CaroPromptCrashes_Quarantines(t, &n);
    for (int i = n - 1; i >= 0; i--) {
        CaroQuarantine *q = &all[i];
        size_t bytes = QUARANTINE_BYTES + PART_BYTES * (size_t)q->parts.n;
        if (!q->is_lifted && *size + bytes <= MESSAGE_BYTES_MAX / 2) {
            *size += bytes;
            out->quarantines[out->evidence.quarantines.quarantines_len++] =
                (caro_prompt_quarantine){
                    .parts = {.parts_len = (u_int)q->parts.n,
                              .parts_val = q->parts.ids},
                    .age_ms = age_ms(q->at, now),
                    .probes = (u_int)q->probes,
                    .events = q->events};
        }
        collect_progress(t, &q->parts, out, size, since, now);
    }
}

/* Adds the crash and the progress of its parts, if there is room. */
static bool
collect_crash(const CaroPromptCrashes *t, const CaroPromptCrash *c,
              CaroPromptEvidence *out, size_t *size, CaroTime now)
{
    u_int *n = &out->evidence.losses.losses_len;
    size_t bytes = LOSS_BYTES + PART_BYTES * (size_t)c->parts.n;
    if (*n == CARO_PROMPT_LOSSES_MAX || *size + bytes > MESSAGE_BYTES_MAX) {
        return false;
    }
    *size += bytes;
    out->losses[(*n)++] =
        (caro_prompt_loss){.upstream = c->upstream,
                           .request = c->request,
                           .service = c->service,
                           .domain = c->domain,
                           .is_domain_lost = c->is_domain_lost,
                           .has_head = c->has_head,
                           .events = c->events,
                           .age_ms = age_ms(c->at, now),
                           .parts = {.parts_len = (u_int)c->parts.n,
                                     .parts_val = (u_quad_t *)c->parts.ids}};
    collect_progress(t, &c->parts, out, size, CARO_NEVER_PASSED, now);
    return true;
}

static bool
is_empty(const caro_prompt_evidence *e)
{
    return e->losses.losses_len == 0 && e->quarantines.quarantines_len == 0 &&
           e->progress.progress_len == 0;
}

static void
begin_message(CaroPromptEvidence *out)
{
    caro_prompt_evidence *e = &out->evidence;
    memset(e, 0, sizeof(*e));
    e->losses.losses_val = out->losses;
    e->progress.progress_val = out->progress;
    e->quarantines.quarantines_val = out->quarantines;
}

bool
CaroPromptReports_CollectNews(CaroPromptCrashes *t, CaroPromptEvidence *out,
                              CaroTime now)
{
    size_t size = 0;
    int n;
    begin_message(out);
    collect_quarantines(t, out, &size, now - NEWS_TTL, now);
    const CaroPromptCrash *crashes = CaroPromptCrashes_List(t, &n);
    for (int i = n - 1; i >= 0; i--) {
        if (crashes[i].received_at >= now - NEWS_TTL) {
            (void)collect_crash(t, &crashes[i], out, &size, now);
        }
        else {
            collect_progress(t, &crashes[i].parts, out, &size, now - NEWS_TTL,
                             now);
        }
    }
    return !is_empty(&out->evidence);
}

bool
CaroPromptReports_Collect(CaroPromptCrashes *t, CaroPromptEvidence *out,
                          int *turn, CaroTime now)
{
    size_t size = 0;
    int n;
    begin_message(out);
    collect_quarantines(t, out, &size, CARO_NEVER_PASSED, now);
    const CaroPromptCrash *crashes = CaroPromptCrashes_List(t, &n);
    int older = n - NEWEST_CRASHES;
    for (int i = n - 1; i >= 0 && i >= older; i--) {
        (void)collect_crash(t, &crashes[i], out, &size, now);
    }
    for (int i = 0; i < older; i++) {
        *turn = (*turn + 1) % older;
        if (!collect_crash(t, &crashes[*turn], out, &size, now)) {
            break;
        }
    }
    return !is_empty(&out->evidence);
}

/* A response that was received whole is the only sure begin for a version that
   takes the first event for a proof. */
static void
collect_begins(const CaroPromptCrashes *t, const CaroPromptParts *parts,
               CaroPromptReport *out, CaroTime now)
{
    u_int *n = &out->report.begins.begins_len;
    for (int i = 0; i < parts->n; i++) {
        CaroTime at = CaroPromptCrashes_PassedAt(t, parts->ids[i], UINT32_MAX);
        bool is_listed = at == CARO_NEVER_PASSED || *n == CARO_BEGINS_MAX;
        for (u_int j = 0; j < *n && !is_listed; j++) {
            is_listed = out->begins[j].part == parts->ids[i];
        }
        if (!is_listed) {
            out->begins[(*n)++] = (caro_prompt_begin){
                .part = parts->ids[i], .age_ms = age_ms(at, now)};
        }
    }
}

bool
CaroPromptReports_CollectOld(CaroPromptCrashes *t, CaroPromptReport *out,
                             CaroTime now)
{
    caro_prompt_report *r = &out->report;
    int n;
    memset(r, 0, sizeof(*r));
    r->crashes.crashes_val = out->crashes;
    r->begins.begins_val = out->begins;
    r->quarantines.quarantines_val = out->quarantines;
    CaroQuarantine *all = CaroPromptCrashes_Quarantines(t, &n);
    for (int i = n - 1; i >= 0; i--) {
        CaroQuarantine *q = &all[i];
        u_int *count = &r->quarantines.quarantines_len;
        if (!q->is_lifted && q->parts.n <= CARO_PARTS_MAX &&
            *count < CARO_QUARANTINES_MAX) {
            out->quarantines[(*count)++] = (caro_quarantine){
                .parts = {.parts_len = (u_int)q->parts.n,
                          .parts_val = q->parts.ids},
                /* The first event of a response lifts an older one there,
                   which means nothing if crashes follow events. */
                .age_ms = q->events > 0 ? 0 : age_ms(q->at, now),
                .left_ms = OLD_QUARANTINE_TTL / CARO_MS};
        }
        collect_begins(t, &q->parts, out, now);
    }
    const CaroPromptCrash *crashes = CaroPromptCrashes_List(t, &n);
    for (int i = n - 1; i >= 0 && r->crashes.crashes_len < CARO_CRASHES_MAX;
         i--) {
        const CaroPromptCrash *c = &crashes[i];
        if (c->events == 0 && !c->is_domain_lost && c->parts.n > 0 &&
            c->parts.n <= CARO_PARTS_MAX) {
            out->crashes[r->crashes.crashes_len++] = (caro_prompt_crash){
                .upstream = c->upstream,
                .request = c->request,
                .age_ms = age_ms(c->at, now),
                .parts = {.parts_len = (u_int)c->parts.n,
                          .parts_val = (u_quad_t *)c->parts.ids}};
            collect_begins(t, &c->parts, out, now);
        }
    }
    return r->crashes.crashes_len > 0 || r->quarantines.quarantines_len > 0 ||
           r->begins.begins_len > 0;
}

void
CaroPromptReports_Apply(CaroPromptCrashes *t,
                        const caro_prompt_evidence *evidence, CaroTime now)
{
    for (u_int i = 0; i < evidence->progress.progress_len; i++) {
        const caro_part_progress *p = &evidence->progress.progress_val[i];
        CaroPromptCrashes_MergeProgress(
            t, p->part,
            p->is_finished ? time_of(p->finished_age_ms, now)
                           : CARO_NEVER_PASSED,
            p->events,
            p->events > 0 ? time_of(p->events_age_ms, now) : CARO_NEVER_PASSED,
            now);
    }
    for (u_int i = 0; i < evidence->quarantines.quarantines_len; i++) {
        const caro_prompt_quarantine *in =
            &evidence->quarantines.quarantines_val[i];
        CaroQuarantine q = {.at = time_of(in->age_ms, now),
                            .probes = in->probes < INT16_MAX ? (int)in->probes
                                                             : INT16_MAX,
                            .events = in->events};
        read_parts(in->parts.parts_val, in->parts.parts_len, &q.parts);
        (void)CaroPromptCrashes_AddQuarantine(t, &q, now);
    }
    for (u_int i = 0; i < evidence->losses.losses_len; i++) {
        const caro_prompt_loss *in = &evidence->losses.losses_val[i];
        CaroPromptCrash c = {.upstream = in->upstream,
                             .request = in->request,
                             .service = in->service,
                             .domain = in->domain,
                             .is_domain_lost = in->is_domain_lost != 0,
                             .has_head = in->has_head != 0,
                             .events = in->events,
                             .at = time_of(in->age_ms, now)};
        read_parts(in->parts.parts_val, in->parts.parts_len, &c.parts);
        CaroPromptCrashes_Record(t, &c, now);
    }
}

void
CaroPromptReports_ApplyOld(CaroPromptCrashes *t,
                           const caro_prompt_report *report, CaroTime now)
{
    for (u_int i = 0; i < report->begins.begins_len; i++) {
        const caro_prompt_begin *b = &report->begins.begins_val[i];
        CaroPromptCrashes_MergeProgress(t, b->part, CARO_NEVER_PASSED,
                                        CARO_PROMPT_PROGRESS_MIN,
                                        time_of(b->age_ms, now), now);
    }
    for (u_int i = 0; i < report->quarantines.quarantines_len; i++) {
        const caro_quarantine *in = &report->quarantines.quarantines_val[i];
        CaroTime left = (CaroTime)in->left_ms * CARO_MS;
        CaroQuarantine q = {
            .at = time_of(in->age_ms, now),
            .expires_at =
                now + (left < OLD_QUARANTINE_TTL ? left : OLD_QUARANTINE_TTL)};
        read_parts(in->parts.parts_val, in->parts.parts_len, &q.parts);
        (void)CaroPromptCrashes_AddQuarantine(t, &q, now);
    }
    for (u_int i = 0; i < report->crashes.crashes_len; i++) {
        const caro_prompt_crash *in = &report->crashes.crashes_val[i];
        CaroPromptCrash c = {.upstream = in->upstream,
                             .request = in->request,
                             .has_head = true,
                             .at = time_of(in->age_ms, now)};
        read_parts(in->parts.parts_val, in->parts.parts_len, &c.parts);
        if (c.parts.n > 0) {
            CaroPromptCrashes_Record(t, &c, now);
        }
    }
}
