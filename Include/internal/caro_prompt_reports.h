/*
 * NAME
 *     caro_prompt_reports - messages with evidence on prompts
 *
 * Times are sent as ages, because the clocks of VMs differ.  A message has the
 * quarantines, the newest crashes and others in turn, and the progress of the
 * parts of both, up to a size that one datagram carries.
 */
#ifndef CARO_PROMPT_REPORTS_H
#define CARO_PROMPT_REPORTS_H

#include "internal/caro_prompt_crashes.h"

/* A message and the storage that it points to. */
typedef struct {
    caro_prompt_evidence evidence;
    caro_prompt_loss losses[CARO_PROMPT_LOSSES_MAX];
    caro_part_progress progress[CARO_PARTS_PROGRESS_MAX];
    caro_prompt_quarantine quarantines[CARO_PROMPT_QUARANTINES_MAX];
} CaroPromptEvidence;

/* Likewise in the form of versions that do not know the other: crashes after
   the head of a response and before its first event. */
typedef struct {
    caro_prompt_report report;
    caro_prompt_crash crashes[CARO_CRASHES_MAX];
    caro_prompt_begin begins[CARO_BEGINS_MAX];
    caro_quarantine quarantines[CARO_QUARANTINES_MAX];
} CaroPromptReport;

/* Fill the message, except the sender; it points into the table.  News are
   what was learned in the last second, and all quarantines.  "*turn" tells
   which of the older crashes come next.  Returns whether there is anything to
   report. */
bool CaroPromptReports_CollectNews(CaroPromptCrashes *t,
                                   CaroPromptEvidence *out, CaroTime now);
bool CaroPromptReports_Collect(CaroPromptCrashes *t, CaroPromptEvidence *out,
                               int *turn, CaroTime now);
bool CaroPromptReports_CollectOld(CaroPromptCrashes *t, CaroPromptReport *out,
                                  CaroTime now);

/* Merge the message of another VM. */
void CaroPromptReports_Apply(CaroPromptCrashes *t,
                             const caro_prompt_evidence *evidence,
                             CaroTime now);
void CaroPromptReports_ApplyOld(CaroPromptCrashes *t,
                                const caro_prompt_report *report,
                                CaroTime now);

#endif
