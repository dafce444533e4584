#include "scheduling/placement_client.h"
#include <catch2/catch.hpp>
