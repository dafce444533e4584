#include "scheduling/message_codec.h"
#include <catch2/catch.hpp>
