/*
 * NAME
 *     caro_target_groups - the targets of each service and failure domain
 *
 * A choice of a target looks at the groups of one service, of which there are
 * few, and at a bounded number of members of each, so that its cost does not
 * grow with the number of targets.  A group also keeps the recent failures of
 * its members, from which a failing domain is recognized.
 */
#ifndef CARO_TARGET_GROUPS_H
#define CARO_TARGET_GROUPS_H

#include "internal/caro_types.h"

typedef struct CaroTargetGroups CaroTargetGroups;

/* The members of a group, borrowed until one is added or removed. */
typedef struct {
    const char *service;
    const char *domain;
    const CaroHandle *members;
    int n;
} CaroTargetGroup;

/* Returns NULL without memory.  Destroy accepts NULL. */
CaroTargetGroups *CaroTargetGroups_Create(void);
void CaroTargetGroups_Destroy(CaroTargetGroups *g);

/* Adds a member.  Returns the index of its group, which stays valid while the
   group has members, or CARO_NO_HANDLE without memory. */
int CaroTargetGroups_Add(CaroTargetGroups *g, const char *service,
                         const char *domain, CaroHandle member);
void CaroTargetGroups_Remove(CaroTargetGroups *g, int group,
                             CaroHandle member);

/* Returns the number of groups, some of which may be empty. */
int CaroTargetGroups_Count(const CaroTargetGroups *g);
CaroTargetGroup CaroTargetGroups_Get(const CaroTargetGroups *g, int group);

/* Returns the number of members of all groups of the service. */
int CaroTargetGroups_CountService(const CaroTargetGroups *g,
                                  const char *service);

/* Returns a member of the service with the most members. */
CaroHandle CaroTargetGroups_GetFromLargest(const CaroTargetGroups *g);

/* Records that a member failed at the time "at" and is avoided until "until";
   Clear, that it is no longer avoided. */
void CaroTargetGroups_RecordFailure(CaroTargetGroups *g, int group,
                                    CaroHandle member, CaroTime at,
                                    CaroTime until);
void CaroTargetGroups_ClearFailure(CaroTargetGroups *g, int group,
                                   CaroHandle member);

/*
 * Returns the time of the rank-th latest failure, from 1, among the members
 * that are avoided at the time "now", or -1 if there are fewer.  The result is
 * kept until a failure is added or ends.
 */
CaroTime CaroTargetGroups_FailureOfRank(CaroTargetGroups *g, int group,
                                        int rank, CaroTime now);

#endif
