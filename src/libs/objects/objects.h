// Client of the platform's object API.
#ifndef OBJECTS_OBJECTS_H_
#define OBJECTS_OBJECTS_H_

#include "objects/http_object_store.h"
#include "objects/object_store.h"

#endif  // OBJECTS_OBJECTS_H_
