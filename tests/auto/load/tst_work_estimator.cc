#include "load/work_estimator.h"
#include <catch2/catch.hpp>
