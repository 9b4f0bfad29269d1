/*
 * NAME
 *     caro_admissions - the admission of each deployment
 *
 * An admission is made when its deployment is first asked for and lives as
 * long as this object, so that a session may keep it.
 */
#ifndef CARO_ADMISSIONS_H
#define CARO_ADMISSIONS_H

#include "internal/caro_admission.h"
#include "internal/caro_config.h"
#include "internal/caro_upstreams.h"

typedef struct CaroAdmissions CaroAdmissions;

CaroAdmissions *CaroAdmissions_Create(int queue_max);
void CaroAdmissions_Destroy(CaroAdmissions *all);

/* Of a deployment; NULL when there are too many. */
CaroAdmission *CaroAdmissions_GetOrCreate(CaroAdmissions *all,
                                          const char *deployment);

int CaroAdmissions_Count(const CaroAdmissions *all);
CaroAdmission *CaroAdmissions_GetAt(const CaroAdmissions *all, int i,
                                    const char **deployment);

/* Takes the accounts' weights from a configuration. */
void CaroAdmissions_SetWeights(CaroAdmissions *all, const CaroConfig *config);

/* Sets this VM's part of what the upstreams bear, of "vms" VMs. */
void CaroAdmissions_UpdateLimits(CaroAdmissions *all,
                                 const CaroUpstreams *upstreams, int vms,
                                 CaroTime now);

#endif
