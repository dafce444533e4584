#include <catch2/catch.hpp>
#include "scheduling/message_codec.h"
