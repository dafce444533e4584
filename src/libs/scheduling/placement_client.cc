#include "scheduling/placement_client.h"
