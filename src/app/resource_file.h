#ifndef APP_RESOURCE_FILE_H_
#define APP_RESOURCE_FILE_H_

#include <string>
#include <vector>

#include "model/model.h"

namespace poplarsail::app {

// Reads the objects of a JSON file (one object or a list) and validates each.
// Throws model::ValidationError with file, key and reason.
std::vector<model::Object> ReadResourceFile(const std::string& path);

}  // namespace poplarsail::app

#endif  // APP_RESOURCE_FILE_H_
