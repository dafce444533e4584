#include "load/speed_estimator.h"
#include <catch2/catch.hpp>
