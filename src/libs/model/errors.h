#ifndef MODEL_ERRORS_H_
#define MODEL_ERRORS_H_

#include <stdexcept>
#include <string>

namespace poplarsail::model {

// Thrown for an invalid resource or settings file. The message names the
// source, the key and the reason.
class ValidationError : public std::runtime_error {
 public:
  ValidationError(const std::string& source,
                  const std::string& key,
                  const std::string& reason)
      : std::runtime_error(source + ": key \"" + key + "\": " + reason),
        m_key(key) {}

  const std::string& key() const { return m_key; }

 private:
  std::string m_key;
};

}  // namespace poplarsail::model

#endif  // MODEL_ERRORS_H_
