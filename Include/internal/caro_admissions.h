/*
 * NAME
 *     caro_admissions - admission control of each deployment
 *
 * The admission of a deployment is created on first use and exists as long
 * as this object, so that sessions may keep a pointer to it.
 */
#ifndef CARO_ADMISSIONS_H
#define CARO_ADMISSIONS_H

#include "internal/caro_admission.h"
#include "internal/caro_config.h"
#include "internal/caro_upstreams.h"

typedef struct CaroAdmissions CaroAdmissions;

/* Creates an empty table, or returns NULL.  queue_max bounds the queue of each
   deployment.  Destroy accepts NULL. */
CaroAdmissions *CaroAdmissions_Create(int queue_max);
void CaroAdmissions_Destroy(CaroAdmissions *all);

/* Returns the borrowed admission of a deployment, or NULL when there are too
   many or an allocation fails. */
CaroAdmission *CaroAdmissions_GetOrCreate(CaroAdmissions *all,
                                          const char *deployment);

/* Enumerate the admissions; GetAt also returns the name of the deployment. */
int CaroAdmissions_Count(const CaroAdmissions *all);
CaroAdmission *CaroAdmissions_GetAt(const CaroAdmissions *all, int i,
                                    const char **deployment);

/* Applies the account weights of a configuration. */
void CaroAdmissions_SetWeights(CaroAdmissions *all, const CaroConfig *config);

/* Sets the limits to the share of one of "vms" VMs in the capacity of the
   upstreams. */
void CaroAdmissions_UpdateLimits(CaroAdmissions *all,
                                 const CaroUpstreams *upstreams, int vms,
                                 CaroTime now);

#endif
