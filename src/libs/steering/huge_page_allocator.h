#ifndef STEERING_HUGE_PAGE_ALLOCATOR_H_
#define STEERING_HUGE_PAGE_ALLOCATOR_H_

#include <sys/mman.h>

#include <cstddef>
#include <cstdlib>
#include <new>

namespace poplarsail::steering {

// Allocates large tables on huge pages where available, since random access to
// a large table on small pages spends most of its time on TLB misses.
template <typename Item>
struct HugePageAllocator {
  using value_type = Item;

  HugePageAllocator() = default;
  template <typename Other>
  HugePageAllocator(const HugePageAllocator<Other>&) {}

  Item* allocate(size_t count) {
    constexpr size_t kHugePageBytes = size_t{2} << 20;
    const size_t pages =
        (count * sizeof(Item) + kHugePageBytes - 1) / kHugePageBytes;
    void* memory = std::aligned_alloc(kHugePageBytes, pages * kHugePageBytes);
    if (memory == nullptr) {
      throw std::bad_alloc();
    }
    // Only a hint: the table also works without huge pages.
    ::madvise(memory, pages * kHugePageBytes, MADV_HUGEPAGE);
    return static_cast<Item*>(memory);
  }
  void deallocate(Item* items, size_t) { std::free(items); }

  friend bool operator==(const HugePageAllocator&,
                         const HugePageAllocator&) = default;
};

}  // namespace poplarsail::steering

#endif  // STEERING_HUGE_PAGE_ALLOCATOR_H_
