#include "load/completion_predictor.h"
