#include "load/speed_estimator.h"
