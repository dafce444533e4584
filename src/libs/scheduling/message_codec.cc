#include "scheduling/message_codec.h"
