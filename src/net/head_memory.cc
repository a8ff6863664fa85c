#include "net/head_memory.h"

namespace comfreyspring::net {
namespace {

/** The library's record of a field, a parameter or a cookie, aligned. */
constexpr std::size_t kRecordBytes = 64;
/** The text and the response are aligned too. */
constexpr std::size_t kAlignmentBytes = 64;

}  // namespace

std::size_t BytesOf(const head_memory& head) {
  return head.text_bytes + head.copied_bytes +
         kRecordBytes * (head.parameters + head.fields) + head.read_ahead_bytes;
}

bool LeavesRoomForResponse(const head_memory& head, std::size_t pool_bytes) {
  return BytesOf(head) + kAlignmentBytes + kResponseHeadBytes <= pool_bytes;
}

bool IsTargetLarger(std::size_t target_bytes, std::size_t parameters,
                    const head_memory& head) {
  const std::size_t target = target_bytes + kRecordBytes * parameters;
  return 2 * target > BytesOf(head);
}

}  // namespace comfreyspring::net
