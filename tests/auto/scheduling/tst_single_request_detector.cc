#include "scheduling/single_request_detector.h"
#include <catch2/catch.hpp>
