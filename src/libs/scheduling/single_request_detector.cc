#include "scheduling/single_request_detector.h"
