/*
 * NAME
 *     caro_course - the course of a move of traffic to another version
 *
 * Answers versions that turn out bad early, late or under load: the share
 * of the new version grows in steps whose mean, if it is never found bad,
 * stays below the share that may be exposed, and the move is done shortly
 * before its time is over.
 */
#ifndef CARO_COURSE_H
#define CARO_COURSE_H

#include "internal/caro_types.h"

typedef enum {
    CARO_COURSE_BEGIN, /* The order is new: say that it runs. */
    CARO_COURSE_GO_ON,
    CARO_COURSE_FINISH, /* Say that it is done. */
    CARO_COURSE_UNDO    /* Say that it is taken back. */
} CaroCourseStep;

typedef struct {
    bool is_begun;     /* It was said that it runs. */
    bool is_bad;       /* The evidence speaks against the version. */
    CaroTime elapsed;  /* Since the order was seen. */
    CaroTime duration; /* That the operator allows. */
    double requests;   /* Of all VMs since then, about. */
} CaroCourse;

/*
 * Of all requests, for the new version; on the mean "most" may be exposed,
 * and "slack" requests besides, which let a service with few requests be
 * judged at all.
 */
double CaroCourse_Share(const CaroCourse *c, double most, double slack);

CaroCourseStep CaroCourse_Next(const CaroCourse *c);

#endif
