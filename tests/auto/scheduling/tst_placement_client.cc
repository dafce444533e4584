#include <catch2/catch.hpp>
#include "scheduling/placement_client.h"
