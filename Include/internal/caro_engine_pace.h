/*
 * NAME
 *     caro_engine_pace - speed and memory of each start of an engine
 *
 * Estimates the prefill time per prompt token, the time between events and the
 * tokens that an engine holds, from samples of this VM's streams and of those
 * that other VMs report (CARO_PACE_REPORT).  A VM alone observes each engine
 * about once in 300 s.
 *
 * Most errors of a sample lengthen it: a prompt of an unknown VM was ahead, or
 * the engine was slow for a moment.  An estimate is the lower weighted median
 * of the last samples, whose weights decrease with age, averaged with the
 * median of the service's engines as a prior.
 */
#ifndef CARO_ENGINE_PACE_H
#define CARO_ENGINE_PACE_H

#include "caro_peer.h"
#include "internal/caro_targets.h"

typedef struct CaroEnginePace CaroEnginePace;

typedef struct {
    double prefill_us; /* Prefill time per prompt token. */
    double event_us;   /* Time between two events of a stream. */
    double usual_us;   /* Median prefill_us of the service: the prior. */
    double usual_event_us;
    int samples;     /* Prefill samples behind the estimate. */
    CaroTime age;    /* Of the latest of them; -1 for none. */
    double memory;   /* Tokens that the engine holds. */
    bool has_memory; /* Learned of this start or of the service's others. */
} CaroPaceEstimate;

/* Returns NULL without memory.  Destroy accepts NULL. */
CaroEnginePace *CaroEnginePace_Create(void);
void CaroEnginePace_Destroy(CaroEnginePace *p);

/* Returns the estimate of a target.  Without samples (or with "p" NULL) it is
   the prior. */
CaroPaceEstimate CaroEnginePace_Get(CaroEnginePace *p,
                                    const CaroTarget *target, CaroTime now);

/* The medians of a service as of their last update, from which its estimates
   follow. */
typedef struct {
    bool is_known; /* The service is. */
    bool is_median_known;
    double prefill_us;
    double event_us;
    double memory;
    int n_memory;
    CaroTime median_at;
} CaroPaceMedians;

/* Get updates the medians from time to time.  To undo that, Save is called
   before and Restore after it. */
CaroPaceMedians CaroEnginePace_SaveMedians(const CaroEnginePace *p,
                                           const char *service);
void CaroEnginePace_RestoreMedians(CaroEnginePace *p, const char *service,
                                   const CaroPaceMedians *saved);

/*
 * Records that the first event of a stream of this VM arrived "wait" after its
 * request was sent, with no other prompt ahead as far as was known.  Returns
 * whether it is a sample: prompts that are short are not.
 */
bool CaroEnginePace_RecordFirstEvent(CaroEnginePace *p,
                                     const CaroTarget *target, int tokens,
                                     CaroTime wait, CaroTime now);

/* Records the mean time between the events of a stream of this VM. */
void CaroEnginePace_RecordEvents(CaroEnginePace *p, const CaroTarget *target,
                                 CaroTime interval, CaroTime now);

/* Records that the target began a prompt while it held so many tokens. */
void CaroEnginePace_RecordHeld(CaroEnginePace *p, const CaroTarget *target,
                               double tokens, CaroTime now);

/* Records that the target rejected a prompt of this VM with slots free, while
   it held so many tokens without that prompt.  Returns whether that is a limit
   of its memory: with few tokens the cause is another. */
bool CaroEnginePace_RecordRejection(CaroEnginePace *p,
                                    const CaroTarget *target, double tokens,
                                    CaroTime now);

/* A report with storage for its samples. */
typedef struct {
    caro_pace_report report;
    caro_pace_sample samples[CARO_PACE_SAMPLES_MAX];
} CaroPaceReport;

/* Collects samples that were not reported often enough.  The caller sets
   sender and boot_id.  Returns false when there are none. */
bool CaroEnginePace_Collect(CaroEnginePace *p, CaroPaceReport *out,
                            CaroTime now);

/* Takes in the samples of another VM of targets that are registered here.
   Returns how many were new. */
int CaroEnginePace_Apply(CaroEnginePace *p, const CaroTargets *targets,
                         const caro_pace_report *report, CaroTime now);

#endif
