// Value types shared by all libraries: endpoints, resources and their
// validation, and the settings of an entry host.
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
