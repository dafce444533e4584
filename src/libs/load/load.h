// Estimates what requests cost and what upstreams still have to do. Does no
// I/O: samples and the time are passed in.
#ifndef LOAD_LOAD_H_
#define LOAD_LOAD_H_

#include "load/completion_predictor.h"
#include "load/decaying_count.h"
#include "load/refusal_detector.h"
#include "load/refusal_share.h"
#include "load/speed_estimator.h"
#include "load/work_estimator.h"

#endif  // LOAD_LOAD_H_
