#ifndef LOAD_REFUSAL_DETECTOR_H_
#define LOAD_REFUSAL_DETECTOR_H_

#include <cstdint>

namespace poplarsail::load {

// Tells refusals from responses by their size, for a host that sees only how
// much of an answer its client acknowledges: a refusal is a status line with a
// few headers. Listeners whose responses are as short are not distinguished.
class RefusalDetector {
 public:
  // Adds the number of bytes that the first acknowledgement of an answer
  // covers. Returns whether the answer is a refusal.
  bool Add(uint32_t bytes);

 private:
  // Moving average for responses.
  double m_usual_bytes = 0;
};

}  // namespace poplarsail::load

#endif  // LOAD_REFUSAL_DETECTOR_H_
