#ifndef APP_RESOURCE_FILE_H_
#define APP_RESOURCE_FILE_H_

#include <string>
#include <vector>

#include "model/model.h"

namespace poplarsail::app {

// Reads and validates the objects of a JSON file, which holds one object or a
// list. Throws model::ValidationError with the file, key and reason.
std::vector<model::Object> ReadResourceFile(const std::string& path);

}  // namespace poplarsail::app

#endif  // APP_RESOURCE_FILE_H_
