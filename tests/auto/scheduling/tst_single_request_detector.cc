#include <catch2/catch.hpp>
#include "scheduling/single_request_detector.h"
