#include "load/work_estimator.h"
