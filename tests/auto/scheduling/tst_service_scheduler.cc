#include "scheduling/service_scheduler.h"
#include <catch2/catch.hpp>
