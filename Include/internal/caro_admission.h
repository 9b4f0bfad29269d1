/*
 * NAME
 *     caro_admission - who may use the upstreams now, who waits, who is
 *     refused
 *
 * A VM admits a bounded number of generations a deployment.  Beyond it
 * requests wait in one queue an account; the queues are served in the
 * order of their start tags (start-time fair queueing by token cost), so
 * that a large account delays itself and not the others.  A request whose
 * expected wait exceeds its patience is refused at once, so that the
 * refusal is true and early.
 *
 * SOURCE
 *     P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
 */
#ifndef CARO_ADMISSION_H
#define CARO_ADMISSION_H

#include "internal/caro_types.h"

typedef struct CaroAdmission CaroAdmission;

/* Lower is served first. */
typedef enum {
    CARO_CLASS_RESUME = 0, /* Work whose caller already got a part. */
    CARO_CLASS_INTERACTIVE = 1,
    CARO_CLASS_BACKGROUND = 2,
    CARO_CLASSES = 3
} CaroClass;

typedef enum {
    CARO_ADMITTED,
    CARO_QUEUED,
    CARO_REFUSED
} CaroAdmissionResultKind;

typedef struct {
    CaroAdmissionResultKind kind;
    CaroTime expected_wait; /* For QUEUED and REFUSED. */
} CaroAdmissionResult;

/* One request offered; account is copied. */
typedef struct {
    uint64_t id; /* Unique; names the request in later calls. */
    const char *account;
    CaroClass class;
    double cost;       /* Tokens: prompt and answer. */
    CaroTime patience; /* Longest expected wait it accepts. */
} CaroAdmissionRequest;

/* queue_max bounds the waiting requests of all accounts together. */
CaroAdmission *CaroAdmission_Create(int queue_max);
void CaroAdmission_Destroy(CaroAdmission *a);

/* Sets how many may run at once; 0 admits none. */
void CaroAdmission_SetLimit(CaroAdmission *a, int limit);
int CaroAdmission_Limit(const CaroAdmission *a);

/* Weight of an account, 1.0 unless set. */
void CaroAdmission_SetWeight(CaroAdmission *a, const char *account,
                             double weight);

CaroAdmissionResult CaroAdmission_Request(CaroAdmission *a,
                                          const CaroAdmissionRequest *offer,
                                          CaroTime now);

/* An admitted request ended; cost is what it used. */
void CaroAdmission_Release(CaroAdmission *a, double cost, CaroTime now);

/* A waiting request gave up; an unknown id is allowed. */
void CaroAdmission_Withdraw(CaroAdmission *a, uint64_t id);

/* Takes the next request that may run now; returns false when none. */
bool CaroAdmission_Next(CaroAdmission *a, uint64_t *id, CaroTime now);

int CaroAdmission_Running(const CaroAdmission *a);
int CaroAdmission_Waiting(const CaroAdmission *a);

#endif
