// Value types that every other library shares: endpoints, resources with their
// validation, and the settings of one entry host.
#ifndef MODEL_MODEL_H_
#define MODEL_MODEL_H_

#include "model/endpoint.h"
#include "model/errors.h"
#include "model/ipv4_endpoint.h"
#include "model/object.h"
#include "model/resources.h"
#include "model/settings.h"
#include "model/time_point.h"

#endif  // MODEL_MODEL_H_
