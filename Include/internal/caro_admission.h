/*
 * NAME
 *     caro_admission - admits, queues or refuses requests
 *
 * A VM runs a bounded number of generations of a deployment.  Beyond that
 * limit requests wait in one queue per account.  The queues are served in
 * the order of their start tags (start-time fair queueing by token cost), so
 * that an account with many requests delays itself and not the others.  A
 * request whose expected wait exceeds its limit is refused at once instead
 * of timing out in the queue.
 *
 * SOURCE
 *     P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
 */
#ifndef CARO_ADMISSION_H
#define CARO_ADMISSION_H

#include "internal/caro_types.h"

typedef struct CaroAdmission CaroAdmission;

/* Priority classes.  The lowest is served first. */
typedef enum {
    CARO_CLASS_RESUME = 0, /* The caller already has a part of the response. */
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

/* A request for admission; account is copied. */
typedef struct {
    uint64_t id; /* Unique; names the request in later calls. */
    const char *account;
    CaroClass class;
    double cost;       /* Tokens of the prompt and the response. */
    CaroTime max_wait; /* Refused when the expected wait is longer. */
} CaroAdmissionRequest;

/* "queue_max" limits the waiting requests of all accounts together. */
CaroAdmission *CaroAdmission_Create(int queue_max);
void CaroAdmission_Destroy(CaroAdmission *a);

/* Sets how many requests may run at once; 0 admits none. */
void CaroAdmission_SetLimit(CaroAdmission *a, int limit);
int CaroAdmission_Limit(const CaroAdmission *a);

/* Sets the weight of an account, which is 1.0 by default. */
void CaroAdmission_SetWeight(CaroAdmission *a, const char *account,
                             double weight);

CaroAdmissionResult CaroAdmission_Request(CaroAdmission *a,
                                          const CaroAdmissionRequest *r,
                                          CaroTime now);

/* Records the end of an admitted request; "cost" is what it used. */
void CaroAdmission_Release(CaroAdmission *a, double cost, CaroTime now);

/* Removes a waiting request; an unknown id is allowed. */
void CaroAdmission_Withdraw(CaroAdmission *a, uint64_t id);

/* Admits the next waiting request; returns false when none may run now. */
bool CaroAdmission_Next(CaroAdmission *a, uint64_t *id, CaroTime now);

int CaroAdmission_Running(const CaroAdmission *a);
int CaroAdmission_Waiting(const CaroAdmission *a);

#endif
