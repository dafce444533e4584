#include "load/completion_predictor.h"
#include <catch2/catch.hpp>
