#include "scheduling/service_scheduler.h"
