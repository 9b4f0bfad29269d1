/*
 * NAME
 *     caro_service_room - admission of requests to services short of room
 *
 * Handles load beyond what the servers of a service run in time: queues there
 * would make every response late, and full queues reject requests.  A service
 * is short of room while its servers report long queues or reject requests.
 * Only plain requests are decided on, and only of services whose servers
 * report a work figure (CaroTargets_IsAdaptive).
 *
 * No VM sees more than a few requests a second.  All VMs report what they see
 * (caro_room_reports.h), and each derives from the same sums which part of
 * each priority the servers have room for: their rate of answers, corrected by
 * the present wait in their queues, is given to the most urgent priority
 * first. Of the priority that fits in part each client account gets the same
 * rate, or what it asks for if that is less.  Within a
 * priority, requests whose callers have waited longer than the objective come
 * last, since they are late anyway.
 *
 * Of its own requests a VM sends the part that is admitted.  One that has to
 * wait for the next unit of its part is held if it can still be in time, and
 * otherwise refused at once.
 */
#ifndef CARO_SERVICE_ROOM_H
#define CARO_SERVICE_ROOM_H

#include "internal/caro_placement.h"
#include "internal/caro_room_reports.h"

typedef struct CaroServiceRoom CaroServiceRoom;

typedef enum {
    CARO_ROOM_SEND,  /* To a server, now. */
    CARO_ROOM_HOLD,  /* Ask CaroServiceRoom_EndHold after "wait". */
    CARO_ROOM_REFUSE /* The caller may come back after "wait". */
} CaroRoomAction;

typedef struct {
    CaroRoomAction action;
    CaroTime wait;
} CaroRoomDecision;

/* A plain request; the texts are borrowed. */
typedef struct {
    const char *service;
    const char *account;  /* NULL on a public route. */
    int64_t priority;     /* 0 is the most urgent. */
    CaroTime objective;   /* Response time objective. */
    CaroTime caller_time; /* That the caller has left; 0 when unknown. */
    CaroTime accepted_at;
    CaroTime deadline;
    size_t bytes; /* Memory of the request. */
} CaroRoomRequest;

/* What decisions on a service rest on.  Rates are per second, of all VMs as
   far as they report; ages are -1 when there is nothing. */
typedef struct {
    const char *service;
    bool is_short;
    double capacity;
    double requests[CARO_ROOM_PRIORITIES];
    double waited; /* Requests of callers that had waited before. */
    double rejections;
    double levels[CARO_ROOM_PRIORITIES]; /* Rate that an account is admitted
                                            with; below 0 without a limit. */
    CaroTime wait; /* Mean expected wait at the servers. */
    CaroTime service_time;
    CaroTime observed_age; /* Of the newest observation of a server. */
    int reports;           /* VMs that reported. */
    CaroTime report_age;   /* Of the oldest report. */
    int held;              /* Requests held by this VM. */
} CaroRoomState;

/* A report, and what it points to. */
typedef struct {
    caro_room_report report; /* The sender's fields are not filled in. */
    caro_service_room services[CARO_ROOM_SERVICES_MAX];
    caro_room_server servers[CARO_ROOM_SERVICES_MAX][CARO_ROOM_SERVERS_MAX];
    caro_room_account accounts[CARO_ROOM_SERVICES_MAX][CARO_ROOM_ACCOUNTS_MAX];
} CaroRoomReport;

/* "targets" and "rng" are borrowed.  Returns NULL without memory.  Destroy
   accepts NULL. */
CaroServiceRoom *CaroServiceRoom_Create(const CaroTargets *targets,
                                        gsl_rng *rng);
void CaroServiceRoom_Destroy(CaroServiceRoom *r);

/* Number of VMs in the deployment; the interval of reports follows it. */
void CaroServiceRoom_SetVms(CaroServiceRoom *r, int vms);

/* Counts a caller's request and decides on it. */
CaroRoomDecision CaroServiceRoom_Accept(CaroServiceRoom *r,
                                        const CaroRoomRequest *q,
                                        CaroTime now);

/* Decides on a request that all servers rejected: it is held for a short time,
   or refused when it would be late. */
CaroRoomDecision CaroServiceRoom_Retry(CaroServiceRoom *r,
                                       const CaroRoomRequest *q, CaroTime now);

/* The hold of a request is over: it is sent, or refused when no request of its
   priority is sent any more. */
CaroRoomDecision CaroServiceRoom_EndHold(CaroServiceRoom *r,
                                         const CaroRoomRequest *q,
                                         CaroTime now);

/* The caller of a held request disconnected, or it ended otherwise. */
void CaroServiceRoom_CancelHold(CaroServiceRoom *r, const CaroRoomRequest *q);

/* A target answered a plain request, or rejected it, "elapsed" after it was
   sent.  Its reported load is in the table (CaroTargets_RecordLoad). */
void CaroServiceRoom_RecordResponse(CaroServiceRoom *r, CaroHandle target,
                                    bool is_rejection, CaroTime elapsed,
                                    CaroTime now);

/* Chooses a usable target by its expected wait while the service is short of
   room.  Returns CARO_NO_HANDLE when the usual placement applies. */
CaroHandle CaroServiceRoom_Choose(CaroServiceRoom *r,
                                  const CaroPlacementQuery *q, CaroTime now);

/* Returns whether the service is short of room. */
bool CaroServiceRoom_IsShort(const CaroServiceRoom *r, const char *service);

/* Time after which the caller of a refused request may come back. */
CaroTime CaroServiceRoom_RetryAfter(CaroServiceRoom *r, const char *service);

/* Follows the time; to be called several times a second.  Returns true with
   *out filled when a service became short of room, or is no longer; it is to
   be called again then. */
bool CaroServiceRoom_Tick(CaroServiceRoom *r, CaroRoomState *out,
                          CaroTime now);

/* Fills *out with what is known of the service; false when it has no state. */
bool CaroServiceRoom_GetState(const CaroServiceRoom *r, const char *service,
                              CaroRoomState *out, CaroTime now);

/* Fills *out and returns true when a report is due. */
bool CaroServiceRoom_Collect(CaroServiceRoom *r, CaroRoomReport *out,
                             CaroTime now);

/* Applies another VM's report. */
void CaroServiceRoom_Apply(CaroServiceRoom *r, const caro_room_report *report,
                           CaroTime now);

#endif
